import type { Clock } from '../clock/mod.ts';
import type { LimitValues } from './allotment_table.ts';
import { createTokenBucket } from './_token_bucket.ts';

/** The limit that was exceeded and the time in ms after which to retry. */
export interface LimitRefusal {
  readonly reason: string;
  readonly waitMs: number;
}

/** Enforces this node's part of one customer's limit. */
export interface LocalLimit {
  /** Admits a request within `part` and returns `undefined`, or returns the refusal. */
  readonly acquire: (part: LimitValues) => LimitRefusal | undefined;
  /** Ends an admitted request. */
  readonly release: () => void;
  /** Recent demand, including refused requests. */
  readonly demand: () => LimitValues;
  /** Starts a new measurement period for the demand in flight. */
  readonly startPeriod: () => void;
  readonly isIdle: () => boolean;
  /** Whether usage is close to `part`. */
  readonly isNearLimit: (part: LimitValues) => boolean;
}

const MS_PER_SECOND = 1000;
/** Retry delay for requests over the concurrency limit. */
const CONCURRENCY_RETRY_MS = 1000;
const NEAR_LIMIT_FRACTION = 0.8;
const RATE_TIME_CONSTANT_MS = 500;

/** Whole slots of a part, at least one: a part below one could not be used at all. */
const wholeSlots = (inFlight: number) => Math.max(1, Math.floor(inFlight));

/** Creates the limit of one customer, with a bucket that is full at `initialRate`. */
export const createLocalLimit = (clock: Clock, initialRate: number): LocalLimit => {
  const bucket = createTokenBucket(clock, initialRate);
  let inFlight = 0;
  let peakInFlight = 0;
  let admitted = 0;
  let refusedForConcurrency = 0;
  let rate = 0;
  let lastArrivalAt = clock.now();

  const currentRate = () => rate * Math.exp((lastArrivalAt - clock.now()) / RATE_TIME_CONSTANT_MS);

  const countArrival = () => {
    rate = currentRate() + MS_PER_SECOND / RATE_TIME_CONSTANT_MS;
    lastArrivalAt = clock.now();
  };

  return {
    acquire: (part) => {
      countArrival();
      if (inFlight >= wholeSlots(part.inFlight)) {
        refusedForConcurrency += 1;
        return { reason: 'over the concurrency limit', waitMs: CONCURRENCY_RETRY_MS };
      }
      if (!bucket.take(part.requestsPerSecond)) {
        const waitMs = bucket.waitMs(part.requestsPerSecond);
        return { reason: 'over the rate limit', waitMs };
      }
      inFlight += 1;
      admitted += 1;
      peakInFlight = Math.max(peakInFlight, inFlight);
      return undefined;
    },
    release: () => {
      inFlight -= 1;
    },
    demand: () => ({
      requestsPerSecond: currentRate(),
      // Assumes that refused requests would have run as long as the admitted ones.
      inFlight: peakInFlight * (1 + refusedForConcurrency / Math.max(1, admitted)),
    }),
    startPeriod: () => {
      peakInFlight = inFlight;
      admitted = 0;
      refusedForConcurrency = 0;
    },
    isIdle: () => inFlight === 0,
    isNearLimit: (part) => (
      inFlight >= wholeSlots(part.inFlight) * NEAR_LIMIT_FRACTION
      || currentRate() >= part.requestsPerSecond * NEAR_LIMIT_FRACTION
    ),
  };
};
