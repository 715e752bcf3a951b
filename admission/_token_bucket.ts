import type { Clock } from '../clock/mod.ts';

/** Token bucket whose rate, in tokens per second, is given with each call. */
export interface TokenBucket {
  /** Takes one token; false when none is available. */
  readonly take: (rate: number) => boolean;
  /** Time in ms until the next token is available. */
  readonly waitMs: (rate: number) => number;
}

const BURST_SECONDS = 0.25;
const MS_PER_SECOND = 1000;

/** Capacity of the bucket at a rate. */
const burstFor = (rate: number) => Math.max(1, rate * BURST_SECONDS);

/** Creates a bucket that is full at `initialRate`, in tokens per second. */
export const createTokenBucket = (clock: Clock, initialRate: number): TokenBucket => {
  let tokens = burstFor(initialRate);
  let refilledAt = clock.now();

  const refill = (rate: number) => {
    const elapsedMs = clock.now() - refilledAt;
    refilledAt = clock.now();
    tokens = Math.min(burstFor(rate), tokens + (elapsedMs * rate) / MS_PER_SECOND);
  };

  return {
    take: (rate) => {
      refill(rate);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    waitMs: (rate) => {
      refill(rate);
      return rate > 0 ? (Math.max(0, 1 - tokens) * MS_PER_SECOND) / rate : MS_PER_SECOND;
    },
  };
};
