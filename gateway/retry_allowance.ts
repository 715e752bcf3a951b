import type { Clock } from '../clock/mod.ts';

/** Bounds the sends beyond the first of each request, by service. */
export interface RetryAllowance {
  /** A request for the service was sent for the first time. */
  readonly deposit: (service: string) => void;
  /** Takes one further send; false when the allowance is used up. */
  readonly withdraw: (service: string) => boolean;
}

/** Bounds of the whole fleet and this node's part of it. */
export interface RetryAllowanceOptions {
  readonly clock: Clock;
  /** Further sends per request that the fleet may make in a window. */
  readonly ratio: number;
  /** Further sends that the fleet may make beside the ratio in a window. */
  readonly extra: number;
  readonly windowMs: number;
  /** Nodes that share the bounds. */
  readonly nodeCount: () => number;
}

interface Account {
  tokens: number;
  filledAt: number;
}

/**
 * Part of the ratio that is used. A repeated run repeats the calls that it makes, and these count
 * at the service that is called, which may get fewer requests of its own.
 */
const RATIO_SHARE = 0.25;
/** Part of the extra sends that is used; split into a burst and a steady refill. */
const EXTRA_SHARE = 0.6;

/**
 * Creates the allowance of one node. The fleet keeps its bound without any message, because each
 * node stays within an equal part of the extra sends and within the ratio of its own requests.
 *
 * Answers callers that retry while instances fail: further sends cannot multiply the overload.
 *
 * @param options Clock, bounds and number of nodes.
 * @returns The allowance.
 *
 * @example
 * allowance.deposit('ledger');
 * const maySend = allowance.withdraw('ledger');
 */
export const createRetryAllowance = (options: RetryAllowanceOptions): RetryAllowance => {
  const { clock, windowMs } = options;
  const accounts = new Map<string, Account>();

  const burst = () => (options.extra * EXTRA_SHARE) / Math.max(1, options.nodeCount()) / 2;

  const refill = (service: string): Account => {
    const now = clock.now();
    const known = accounts.get(service);
    if (known === undefined) {
      const opened = { tokens: burst(), filledAt: now };
      accounts.set(service, opened);
      return opened;
    }
    const steady = (burst() * (now - known.filledAt)) / windowMs;
    known.tokens = Math.min(Math.max(1, burst()), known.tokens + steady);
    known.filledAt = now;
    return known;
  };

  return {
    deposit: (service) => {
      const account = refill(service);
      account.tokens += options.ratio * RATIO_SHARE;
    },
    withdraw: (service) => {
      const account = refill(service);
      if (account.tokens < 1) return false;
      account.tokens -= 1;
      return true;
    },
  };
};
