import type { Clock } from '../clock/mod.ts';

/** Tokens that refill at a rate and are bounded. */
export interface TokenBucket {
  /** Takes one token; false when there is none. */
  readonly take: (rate: number) => boolean;
  /** Time in ms until the next token at this rate. */
  readonly waitMs: (rate: number) => number;
}

const BURST_SECONDS = 0.25;
const MS_PER_SECOND = 1000;

/** Most tokens saved up at a rate. */
const burstOf = (rate: number) => Math.max(1, rate * BURST_SECONDS);

/** Creates a bucket that holds a full burst at `rate`, in tokens per second. */
export const createTokenBucket = (clock: Clock, firstRate: number): TokenBucket => {
  let tokens = burstOf(firstRate);
  let filledAt = clock.now();

  const fill = (rate: number) => {
    const elapsedMs = clock.now() - filledAt;
    filledAt = clock.now();
    tokens = Math.min(burstOf(rate), tokens + (elapsedMs * rate) / MS_PER_SECOND);
  };

  return {
    take: (rate) => {
      fill(rate);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    waitMs: (rate) => {
      fill(rate);
      return rate > 0 ? (Math.max(0, 1 - tokens) * MS_PER_SECOND) / rate : MS_PER_SECOND;
    },
  };
};
