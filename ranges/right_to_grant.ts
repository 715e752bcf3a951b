import type { Clock } from '../clock/mod.ts';

/** Reading of both clocks, taken when a call to the store is sent. */
export interface ClockReading {
  /** Monotonic time in ms. */
  readonly at: number;
  /** Wall-clock time in ms. */
  readonly wallAt: number;
}

/**
 * A node's lease on granting holds to its instance, renewed whenever the store returns the node's
 * entry. Another node takes over the keys of a lost node only after the entry has been missing for
 * longer than this lease, when all holds granted under it have expired.
 */
export interface RightToGrant {
  /** Reads both clocks; call it right before a call to the store is sent. */
  readonly readClocks: () => ClockReading;
  /** Renews the right: the store returned the entry in response to a call sent at this time. */
  readonly confirm: (sent: ClockReading) => void;
  /** Time in ms for which holds may still be granted; 0 once the right has expired. */
  readonly remainingMs: () => number;
}

/**
 * Duration in ms of the right to grant, counted from the sending of a confirmed call. The entry is
 * read every 3 seconds, and holds must survive a store outage of 9 seconds.
 */
export const RIGHT_TO_GRANT_MS = 12_500;

/**
 * Creates a right to grant that starts out expired, until the first confirmed call.
 *
 * The monotonic clock stops while a host is suspended, and the wall clock can be set, so the right
 * expires as soon as either clock shows that its duration has elapsed.
 *
 * @param clock Source of the monotonic and the wall-clock time.
 * @param validMs Duration in ms of the right, counted from the sending of a confirmed call.
 * @returns The right to grant.
 *
 * @example
 * const sent = right.readClocks();
 * if ((await store.get(key)).isOk()) right.confirm(sent);
 */
export const createRightToGrant = (clock: Clock, validMs: number): RightToGrant => {
  let confirmed: ClockReading | undefined;
  const readClocks = () => ({ at: clock.now(), wallAt: clock.wallTime() });
  return {
    readClocks,
    confirm: (sent) => {
      if (confirmed === undefined || sent.at > confirmed.at) confirmed = sent;
    },
    remainingMs: () => {
      if (confirmed === undefined) return 0;
      const now = readClocks();
      const elapsed = Math.max(now.at - confirmed.at, now.wallAt - confirmed.wallAt);
      return Math.max(0, validMs - elapsed);
    },
  };
};
