import type { Clock } from '../clock/mod.ts';

/** Times at which a call was sent, by both clocks. */
export interface SendTime {
  /** Monotonic time in ms. */
  readonly at: number;
  /** Wall-clock time in ms. */
  readonly wallAt: number;
}

/**
 * Limits how long a node may let its instance hold keys after the store last showed the node's
 * entry. Another node takes the keys over only when the entry has been gone for longer.
 */
export interface RightToGrant {
  readonly startCall: () => SendTime;
  /** The store showed the entry in answer to a call sent at this time. */
  readonly confirm: (sent: SendTime) => void;
  /** Time in ms for which holds may be given; 0 when the right has ended. */
  readonly remainingMs: () => number;
}

/**
 * Duration in ms of the right to grant after a confirmed call. The entry is read every three
 * seconds, and holds have to outlast an outage of the store of nine seconds.
 */
export const RIGHT_TO_GRANT_MS = 12_500;

/**
 * Creates a right that has not been confirmed.
 *
 * The steady clock stands still while a host is suspended, and the time of day can be set, so the
 * right ends when either clock says so.
 *
 * @param clock Clock.
 * @param validMs Duration in ms of the right after a confirmed call was sent.
 * @returns The right.
 *
 * @example
 * const sent = right.startCall();
 * if ((await store.get(key)).isOk()) right.confirm(sent);
 */
export const createRightToGrant = (clock: Clock, validMs: number): RightToGrant => {
  let confirmed: SendTime | undefined;
  const startCall = () => ({ at: clock.now(), wallAt: clock.wallTime() });
  return {
    startCall,
    confirm: (sent) => {
      if (confirmed === undefined || sent.at > confirmed.at) confirmed = sent;
    },
    remainingMs: () => {
      if (confirmed === undefined) return 0;
      const now = startCall();
      const elapsed = Math.max(now.at - confirmed.at, now.wallAt - confirmed.wallAt);
      return Math.max(0, validMs - elapsed);
    },
  };
};
