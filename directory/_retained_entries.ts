import type { Clock } from '../clock/mod.ts';

/** Entries that a restored store lacks, kept so that their writer can write them again. */
export interface RetainedEntries {
  readonly has: (key: string) => boolean;
  /** Keeps an entry and calls `onEnd` after the time; false if entries are not kept. */
  readonly keep: (key: string, onEnd: () => void) => boolean;
}

/** Creates an empty set of entries that are kept for `retainMs` each. */
export const createRetainedEntries = (
  clock: Pick<Clock, 'schedule'>,
  retainMs: number,
): RetainedEntries => {
  const keys = new Set<string>();
  return {
    has: (key) => keys.has(key),
    keep: (key, onEnd) => {
      if (retainMs === 0) return false;
      keys.add(key);
      clock.schedule(retainMs, () => {
        keys.delete(key);
        onEnd();
      });
      return true;
    },
  };
};
