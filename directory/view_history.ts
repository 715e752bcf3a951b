import type { Clock } from '../clock/mod.ts';
import type { EntryChanges } from '../store/mod.ts';

/** The most recent changes that a store view has applied, for peers that watch this node. */
export interface ViewHistory {
  /** Appends changes and wakes the waiting peers. */
  readonly add: (changes: EntryChanges) => void;
  /** Ends the waits of the peers, so that they get an answer at once, if an empty one. */
  readonly wake: () => void;
  /** Discards the history, because changes up to this revision may have been missed. */
  readonly reset: (revision: number) => void;
  /**
   * Waits for changes after a revision (long poll).
   *
   * @param after Store revision up to which the peer has all changes.
   * @param waitMs Maximum wait in ms.
   * @returns The changes, empty after the maximum wait; `undefined` if the history no longer
   *   reaches back to `after`.
   */
  readonly changesAfter: (after: number, waitMs: number) => Promise<EntryChanges | undefined>;
}

type ChangeEvent = EntryChanges['events'][number];

/**
 * Leaves out each write that a later one of the same key replaces. A write before a removal stays:
 * it shows that an entry was there, which restarts the wait for the loss of its node.
 */
const omitReplaced = (events: readonly ChangeEvent[]): readonly ChangeEvent[] => {
  const replaced = new Set<string>();
  const kept: ChangeEvent[] = [];
  for (let index = events.length - 1; index >= 0; index -= 1) {
    const event = events[index]!;
    if ('removed' in event) replaced.delete(event.key);
    else if (replaced.has(event.key)) continue;
    else replaced.add(event.key);
    kept.push(event);
  }
  return kept.reverse();
};

/** More changes than a fleet of several hundred nodes makes while a peer is away for 1 s. */
const MAX_EVENTS = 1024;

/**
 * Creates an empty history, which returns `undefined` until its first `reset`.
 *
 * @param clock The clock for waiting.
 * @returns The history.
 *
 * @example
 * const changes = await history.changesAfter(17, 2000);
 */
export const createViewHistory = (clock: Clock): ViewHistory => {
  let events: ChangeEvent[] = [];
  /** `events` holds all changes after `startRevision` up to and including `endRevision`. */
  let startRevision = Infinity;
  let endRevision = 0;
  const waiters = new Set<AbortController>();

  const wakeAll = () => {
    for (const waiter of waiters) waiter.abort();
    waiters.clear();
  };

  return {
    wake: wakeAll,
    add: (changes) => {
      events.push(...changes.events.filter(({ revision }) => revision > endRevision));
      endRevision = Math.max(endRevision, changes.at);
      const dropped = events.splice(0, Math.max(0, events.length - MAX_EVENTS));
      startRevision = Math.max(startRevision, dropped.at(-1)?.revision ?? startRevision);
      if (changes.events.length > 0) wakeAll();
    },
    reset: (revision) => {
      events = [];
      startRevision = revision;
      endRevision = revision;
      wakeAll();
    },
    changesAfter: async (after, waitMs) => {
      let remainingMs = waitMs;
      for (;;) {
        if (after < startRevision) return undefined;
        const newer = events.filter(({ revision }) => revision > after);
        if (newer.length > 0 || remainingMs <= 0) {
          return { events: omitReplaced(newer), at: endRevision };
        }
        const waiter = new AbortController();
        waiters.add(waiter);
        await clock.sleep(remainingMs, waiter.signal);
        waiters.delete(waiter);
        remainingMs = 0;
      }
    },
  };
};
