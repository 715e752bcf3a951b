import type { Clock } from '../clock/mod.ts';

/** Called when the era rises, before the response that showed it is used. */
export type EraListener = (era: number, former: number) => void;

/** The era of the store as shown by its responses. */
export interface StoreEras {
  /** Highest era seen; 0 before the first one and for a store without eras. */
  readonly current: () => number;
  /** Reports whether the store has eras. */
  readonly isKnown: () => boolean;
  /** Monotonic time in ms at which the current era was first seen; Infinity before. */
  readonly since: () => number;
  /** Number of times that the era has risen since this process started. */
  readonly rises: () => number;
  /**
   * Records the era of a response, undefined if the response names none, and calls the listeners
   * if it is higher than all before.
   *
   * @returns The era to which the response belongs.
   */
  readonly observe: (era: number | undefined) => number;
  /** Adds a listener; listeners are called in the order in which they were added. */
  readonly onRise: (listener: EraListener) => void;
}

/**
 * Number of revisions reserved for each era. It is far above what a store issues in its lifetime,
 * and leaves room for 8,191 eras within the safe integers.
 */
const REVISIONS_PER_ERA = 2 ** 40;
const MAX_ERA = 2 ** 13 - 1;

/** Returns the era of a revision that is comparable across eras. */
export const eraOfRevision = (revision: number): number => Math.floor(revision / REVISIONS_PER_ERA);

/** Converts a revision of the store into one that is comparable across eras. */
export const toEraRevision = (revision: number, era: number): number => (
  revision + era * REVISIONS_PER_ERA
);

/** Converts such a revision back into the store's own. */
export const toStoreRevision = (revision: number, era: number): number => (
  revision - era * REVISIONS_PER_ERA
);

/**
 * Creates the record of a store's eras. Values that are no era are ignored.
 *
 * @example
 * const eras = createStoreEras(clock);
 * eras.onRise((era, former) => logger.warn({ era, former }, 'the store was restored'));
 */
export const createStoreEras = (clock: Pick<Clock, 'now'>): StoreEras => {
  const listeners: EraListener[] = [];
  let current = 0;
  let isKnown = false;
  let rises = 0;
  let hasSeenNone = false;
  let since = Infinity;

  return {
    current: () => current,
    isKnown: () => isKnown,
    since: () => since,
    rises: () => rises,
    observe: (era) => {
      if (era === undefined || !Number.isInteger(era) || era < 0 || era > MAX_ERA) {
        hasSeenNone ||= !isKnown;
        return current;
      }
      const former = current;
      // Revisions that were read before the store had eras are numbered differently.
      const isFirst = !isKnown && !hasSeenNone;
      if (!isKnown) since = clock.now();
      isKnown = true;
      if (era <= former) return era;
      current = era;
      since = clock.now();
      if (isFirst) return era;
      rises += 1;
      for (const listener of listeners) listener(era, former);
      return era;
    },
    onRise: (listener) => {
      listeners.push(listener);
    },
  };
};
