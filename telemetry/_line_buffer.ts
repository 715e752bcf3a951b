import type { Clock } from '../clock/mod.ts';

/** Collects log lines, so that several share one system call. */
export interface LineBuffer {
  readonly append: (line: string) => void;
  /** Returns the collected lines and removes them. */
  readonly take: () => string;
}

/** Options of a line buffer. */
export interface LineBufferOptions {
  readonly clock: Clock;
  /** Writes one or more lines. */
  readonly write: (lines: string) => void;
}

/** Lines reach the reader at most this late; a killed process loses them. */
const FLUSH_INTERVAL_MS = 100;
/** Longer batches are written at once, as a pipe takes no more than a few of them. */
const MAX_BATCH_LENGTH = 16_384;

/**
 * Creates an empty buffer. It schedules nothing while there are no lines.
 *
 * @param options Clock and destination.
 * @returns The buffer.
 */
export const createLineBuffer = ({ clock, write }: LineBufferOptions): LineBuffer => {
  let lines = '';
  let cancelFlush: (() => void) | undefined;

  const take = () => {
    cancelFlush?.();
    cancelFlush = undefined;
    const taken = lines;
    lines = '';
    return taken;
  };
  const flush = () => write(take());

  return {
    append: (line) => {
      lines += line;
      if (lines.length >= MAX_BATCH_LENGTH) flush();
      else cancelFlush ??= clock.schedule(FLUSH_INTERVAL_MS, flush);
    },
    take,
  };
};
