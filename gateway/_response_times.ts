import type { Clock } from '../clock/mod.ts';

interface Window {
  /** Longest time in ms to a head. */
  longestMs: number;
  samples: number;
}

/** Times from a request of one work class to the head of its response. */
export interface ResponseTimes {
  /** Records the time in ms of a sound response. */
  readonly record: (ms: number) => void;
  /** Returns the longest time in ms of the last windows; Infinity while too little is known. */
  readonly longestMs: () => number;
  /** Heads of all time. */
  heads: number;
  /** Requests that run and may be answered. */
  running: number;
}

/** Work changes its pace within a second, so this covers many slow and fast phases. */
export const WINDOW_MS = 30_000;
/** With fewer samples, the longest one is too close to the usual ones. */
const MIN_SAMPLES = 100;
/** Shorter times are within the pauses of a process. */
const MIN_LONGEST_MS = 125;

const createWindow = (): Window => ({ longestMs: 0, samples: 0 });

/** Creates the times of a work class without samples. */
export const createResponseTimes = (clock: Clock): ResponseTimes => {
  let current = createWindow();
  let previous = createWindow();
  let rotatedAt = clock.now();

  const rotate = () => {
    const ageMs = clock.now() - rotatedAt;
    if (ageMs < WINDOW_MS) return;
    previous = ageMs < 2 * WINDOW_MS ? current : createWindow();
    current = createWindow();
    rotatedAt = clock.now();
  };

  return {
    heads: 0,
    running: 0,
    record: (ms) => {
      rotate();
      current.longestMs = Math.max(current.longestMs, ms);
      current.samples += 1;
    },
    longestMs: () => {
      rotate();
      if (current.samples + previous.samples < MIN_SAMPLES) return Infinity;
      return Math.max(MIN_LONGEST_MS, current.longestMs, previous.longestMs);
    },
  };
};
