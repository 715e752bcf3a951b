import type { Clock } from '../clock/mod.ts';
import type { LimitPart } from './allotment_table.ts';
import { createTokenBucket } from './_token_bucket.ts';

/** The limit that was reached and a time to wait. */
export interface LimitReached {
  readonly reason: string;
  readonly waitMs: number;
}

/** Use of one customer's limit on this node. */
export interface LocalLimit {
  /** Undefined when admitted. */
  readonly enter: (part: LimitPart) => LimitReached | undefined;
  readonly leave: () => void;
  /** Recent demand, refused requests included. */
  readonly demand: () => LimitPart;
  /** Starts a new period for the demand in flight. */
  readonly startPeriod: () => void;
  readonly isIdle: () => boolean;
  /** Whether the use comes close to the part. */
  readonly isNear: (part: LimitPart) => boolean;
}

const MS_PER_SECOND = 1000;
/** Wait given to a caller that is over the concurrency limit. */
const CONCURRENCY_WAIT_MS = 1000;
const NEAR_FRACTION = 0.8;
const RATE_TIME_CONSTANT_MS = 500;

/** A node may always have one request in flight; smaller parts could not be used at all. */
const wholeSlots = (inFlight: number) => Math.max(1, Math.floor(inFlight));

/** Creates the use of one customer, with a full bucket at `firstRate`. */
export const createLocalLimit = (clock: Clock, firstRate: number): LocalLimit => {
  const bucket = createTokenBucket(clock, firstRate);
  let inFlight = 0;
  let peak = 0;
  let admitted = 0;
  let refusedForConcurrency = 0;
  let rate = 0;
  let arrivedAt = clock.now();

  const rateNow = () => rate * Math.exp((arrivedAt - clock.now()) / RATE_TIME_CONSTANT_MS);

  const countArrival = () => {
    rate = rateNow() + MS_PER_SECOND / RATE_TIME_CONSTANT_MS;
    arrivedAt = clock.now();
  };

  return {
    enter: (part) => {
      countArrival();
      if (inFlight >= wholeSlots(part.inFlight)) {
        refusedForConcurrency += 1;
        return { reason: 'over the concurrency limit', waitMs: CONCURRENCY_WAIT_MS };
      }
      if (!bucket.take(part.requestsPerSecond)) {
        const waitMs = bucket.waitMs(part.requestsPerSecond);
        return { reason: 'over the rate limit', waitMs };
      }
      inFlight += 1;
      admitted += 1;
      peak = Math.max(peak, inFlight);
      return undefined;
    },
    leave: () => {
      inFlight -= 1;
    },
    demand: () => ({
      requestsPerSecond: rateNow(),
      // Refused requests would have been in flight as long as the admitted ones.
      inFlight: peak * (1 + refusedForConcurrency / Math.max(1, admitted)),
    }),
    startPeriod: () => {
      peak = inFlight;
      admitted = 0;
      refusedForConcurrency = 0;
    },
    isIdle: () => inFlight === 0,
    isNear: (part) => (
      inFlight >= wholeSlots(part.inFlight) * NEAR_FRACTION
      || rateNow() >= part.requestsPerSecond * NEAR_FRACTION
    ),
  };
};
