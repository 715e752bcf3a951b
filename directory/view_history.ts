import type { Clock } from '../clock/mod.ts';
import type { EntryChanges } from '../store/mod.ts';

/** The latest changes that a view of the store has taken over, for peers that follow this node. */
export interface ViewHistory {
  readonly add: (changes: EntryChanges) => void;
  /** Changes up to this revision may have been missed. */
  readonly reset: (at: number) => void;
  /**
   * Waits for changes after a revision.
   *
   * @param after Revision up to which the peer has all changes.
   * @param waitMs Longest wait in ms.
   * @returns The changes, maybe none; undefined when those after `after` are no longer known.
   */
  readonly changesAfter: (after: number, waitMs: number) => Promise<EntryChanges | undefined>;
}

/** More changes than a fleet of some hundred nodes makes while a peer is away for a second. */
const MAX_EVENTS = 1024;

/**
 * Creates a history that knows nothing yet.
 *
 * @param clock Clock.
 * @returns The history.
 *
 * @example
 * const changes = await history.changesAfter(17, 2000);
 */
export const createViewHistory = (clock: Clock): ViewHistory => {
  let events: EntryChanges['events'][number][] = [];
  /** All changes after this revision and up to `at` are in `events`. */
  let base = Infinity;
  let at = 0;
  const waiting = new Set<AbortController>();

  const wakeAll = () => {
    for (const one of waiting) one.abort();
    waiting.clear();
  };

  return {
    add: (changes) => {
      events.push(...changes.events.filter(({ revision }) => revision > at));
      at = Math.max(at, changes.at);
      const dropped = events.splice(0, Math.max(0, events.length - MAX_EVENTS));
      base = Math.max(base, dropped.at(-1)?.revision ?? base);
      if (changes.events.length > 0) wakeAll();
    },
    reset: (revision) => {
      events = [];
      base = revision;
      at = revision;
      wakeAll();
    },
    changesAfter: async (after, waitMs) => {
      const until = clock.now() + waitMs;
      for (;;) {
        if (after < base) return undefined;
        const newer = events.filter(({ revision }) => revision > after);
        const leftMs = until - clock.now();
        if (newer.length > 0 || leftMs <= 0) return { events: newer, at };
        const waking = new AbortController();
        waiting.add(waking);
        await clock.sleep(leftMs, waking.signal);
        waiting.delete(waking);
      }
    },
  };
};
