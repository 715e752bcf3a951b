import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { createSentTimes } from './_sent_times.ts';

/** Place of one request in the limit; it must be released once the request has ended. */
export interface ColdStartPermit {
  /** Called in the turn of the event loop in which the request is written to the connection. */
  readonly markSent: () => void;
  /** Returns the place of a request that was never written; has no effect after `markSent`. */
  readonly release: () => void;
}

/** Limits the requests that a cold instance receives in any second. */
export interface ColdStartLimit {
  /**
   * Counts a request that arrives, and returns the time in ms after which its caller should retry
   * if there is no room for it, or undefined if it may go on. A request must not wait for a slot
   * when those that already wait for one take all the room.
   *
   * @param isNested The request is a nested call of a running request.
   * @param queued Requests that wait for a slot of the instance.
   */
  readonly refuseEarly: (isNested: boolean, queued: number) => number | undefined;
  /** Reserves a place for a request that is about to be sent; fails with a retry time in ms. */
  readonly reserve: (isNested: boolean) => Result<ColdStartPermit, number>;
  /** Returns at most the requests per second that the limit allows now; 0 means unknown. */
  readonly capRate: (ratePerSecond: number) => number;
}

/** Options of the limit. */
export interface ColdStartLimitOptions {
  readonly clock: Clock;
  /** Returns whether the instance is cold, or not known to be warm. */
  readonly isCold: () => boolean;
  /** Requests that a cold instance may receive in any second; Infinity without a bound. */
  readonly maxPerSecond: () => number;
}

/**
 * Requests are counted when they are written. Jitter on the way to the instance can press those
 * of 1.05 s into one second, and its event loop may read late.
 */
const WINDOW_MS = 1100;
/** Part of the room that is kept for nested calls at most, so that ordinary requests have some. */
const MAX_NESTED_FRACTION = 0.5;
const MIN_RETRY_AFTER_MS = 60;
/** Callers retry within a third of their deadline, so room reserved for later stays unused. */
const MAX_RETRY_AFTER_MS = 700;
const MS_PER_SECOND = 1000;

const unboundedPermit: ColdStartPermit = { markSent: () => undefined, release: () => undefined };

/**
 * Creates the limit of one instance. Requests are counted at any time on a service with a bound, as
 * those sent just before the node learns that the instance is cold may have reached it cold. A new
 * limit counts as used up, because an earlier process of this node may have just sent requests.
 *
 * @param options Clock, state of the instance, and its bound.
 * @returns The limit.
 *
 * @example
 * const permit = limit.reserve(false);
 * if (permit.isOk()) permit.value.markSent();
 */
export const createColdStartLimit = (options: ColdStartLimitOptions): ColdStartLimit => {
  const { clock, isCold, maxPerSecond } = options;
  const all = createSentTimes(clock.now());
  const ordinary = createSentTimes(clock.now());
  /** Nested calls that arrive within a window; decays with the window as its time constant. */
  let nestedDemand = 0;
  let nestedDemandAt = clock.now();
  /** Time up to which the retries of refused callers have been scheduled. */
  let retriesScheduledUntil = -Infinity;

  const decayNestedDemand = () => {
    const now = clock.now();
    nestedDemand *= Math.exp((nestedDemandAt - now) / WINDOW_MS);
    nestedDemandAt = now;
  };

  /** Time in ms until a request may be sent after `ahead` others; 0 if it may be sent now. */
  const delayMs = (isNested: boolean, ahead: number) => {
    const room = maxPerSecond() - ahead;
    let freeAt = all.nthLatest(room);
    if (!isNested) {
      decayNestedDemand();
      const reserved = Math.min(
        Math.round(nestedDemand),
        Math.floor(maxPerSecond() * MAX_NESTED_FRACTION),
      );
      freeAt = Math.max(freeAt, ordinary.nthLatest(room - reserved));
    }
    return Math.min(WINDOW_MS, Math.max(0, freeAt + WINDOW_MS - clock.now()));
  };

  /** Staggers the returns of refused callers over the room that comes free. */
  const scheduleRetryMs = (untilRoomMs: number) => {
    const now = clock.now();
    const intervalMs = WINDOW_MS / Math.max(1, maxPerSecond());
    const retryAt = Math.max(now + untilRoomMs, retriesScheduledUntil + intervalMs);
    retriesScheduledUntil = Math.min(retryAt, now + MAX_RETRY_AFTER_MS);
    return Math.max(MIN_RETRY_AFTER_MS, retriesScheduledUntil - now);
  };

  const open = (isNested: boolean): ColdStartPermit => {
    const counts = isNested ? [all] : [all, ordinary];
    let isPending = true;
    const settle = () => {
      if (isPending) for (const count of counts) count.removePending();
      isPending = false;
    };
    for (const count of counts) count.addPending();
    return {
      markSent: () => {
        settle();
        for (const count of counts) count.record(clock.now());
      },
      release: settle,
    };
  };

  const hasBound = () => Number.isFinite(maxPerSecond());

  return {
    refuseEarly: (isNested, queued) => {
      if (!hasBound()) return undefined;
      if (isNested) {
        decayNestedDemand();
        nestedDemand += 1;
      }
      if (!isCold()) return undefined;
      // Nested calls go before all others that wait.
      const untilRoomMs = delayMs(isNested, isNested ? 0 : queued);
      return untilRoomMs > 0 ? scheduleRetryMs(untilRoomMs) : undefined;
    },
    reserve: (isNested) => {
      if (!hasBound()) return ok(unboundedPermit);
      const untilRoomMs = isCold() ? delayMs(isNested, 0) : 0;
      return untilRoomMs > 0 ? err(scheduleRetryMs(untilRoomMs)) : ok(open(isNested));
    },
    capRate: (ratePerSecond) => {
      if (!hasBound() || !isCold()) return ratePerSecond;
      const allowed = Math.max(1, Math.floor((maxPerSecond() * MS_PER_SECOND) / WINDOW_MS));
      return ratePerSecond > 0 ? Math.min(ratePerSecond, allowed) : allowed;
    },
  };
};
