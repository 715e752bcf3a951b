import type { Clock } from '../clock/mod.ts';

/**
 * `running`: all requests are taken. `leaving`: they are taken, and connections are closed after
 * them. `closing`: only calls of running requests are taken, since others might not end in time.
 */
export type StopPhase = 'running' | 'leaving' | 'closing';

/** How far a planned stop has come, and the requests that it waits for. */
export interface StopProgress {
  readonly phase: () => StopPhase;
  readonly setPhase: (phase: StopPhase) => void;
  /** Counts a request until the returned function is called. */
  readonly begin: () => () => void;
  /** Resolves when no request is left, or at the time given in ms. */
  readonly waitForIdle: (until: number) => Promise<void>;
  readonly active: () => number;
}

const POLL_MS = 25;

/**
 * Creates the progress of a node that runs.
 *
 * @param clock Clock.
 * @returns The progress.
 *
 * @example
 * const end = progress.begin();
 * response.once('close', end);
 */
export const createStopProgress = (clock: Clock): StopProgress => {
  let phase: StopPhase = 'running';
  let active = 0;
  return {
    phase: () => phase,
    setPhase: (next) => {
      phase = next;
    },
    begin: () => {
      active += 1;
      let ended = false;
      return () => {
        if (!ended) active -= 1;
        ended = true;
      };
    },
    waitForIdle: async (until) => {
      while (active > 0 && clock.now() < until) await clock.sleep(POLL_MS);
    },
    active: () => active,
  };
};
