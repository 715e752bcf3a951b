import type { Clock } from '../clock/mod.ts';

/** Limits the retries for each service in relation to its requests. */
export interface ServiceRetryBudget {
  /** Counts a new request to the service, which earns a fraction of a retry. */
  readonly deposit: (service: string) => void;
  /** Takes one retry from the budget; returns false when the budget is exhausted. */
  readonly withdraw: (service: string) => boolean;
}

/** Limits of the whole fleet, and the number of nodes that share them. */
export interface ServiceRetryBudgetOptions {
  readonly clock: Clock;
  /** Retries per request that the fleet may make in a window. */
  readonly ratio: number;
  /** Retries that the fleet may make in a window in addition to the ratio. */
  readonly extraRetries: number;
  readonly windowMs: number;
  /** Returns the number of nodes that share the limits. */
  readonly nodeCount: () => number;
}

interface TokenBucket {
  tokens: number;
  refilledAt: number;
}

/**
 * Fraction of the ratio that is used. A retry repeats its nested calls too; these count as retries
 * of the called service, which may receive fewer requests of its own.
 */
const RATIO_SHARE = 0.25;
/** Fraction of the extra retries that is used, half as burst and half as steady refill. */
const EXTRA_SHARE = 0.6;

/**
 * Creates the retry budget of one node, a token bucket for each service. The fleet stays within its
 * limits without coordination, because each node stays within an equal part of the extra retries
 * and within the ratio of its own requests.
 *
 * The budget prevents a retry storm: while instances fail and callers retry as well, retries of
 * the node cannot multiply the overload.
 *
 * @param options Clock, limits and number of nodes.
 * @returns The budget.
 *
 * @example
 * retryBudget.deposit('ledger');
 * const mayRetry = retryBudget.withdraw('ledger');
 */
export const createServiceRetryBudget = (
  options: ServiceRetryBudgetOptions,
): ServiceRetryBudget => {
  const { clock, windowMs } = options;
  const buckets = new Map<string, TokenBucket>();

  const burst = () => (options.extraRetries * EXTRA_SHARE) / Math.max(1, options.nodeCount()) / 2;

  const refill = (service: string): TokenBucket => {
    const now = clock.now();
    const known = buckets.get(service);
    if (known === undefined) {
      const created = { tokens: burst(), refilledAt: now };
      buckets.set(service, created);
      return created;
    }
    const refilled = (burst() * (now - known.refilledAt)) / windowMs;
    known.tokens = Math.min(Math.max(1, burst()), known.tokens + refilled);
    known.refilledAt = now;
    return known;
  };

  return {
    deposit: (service) => {
      const bucket = refill(service);
      bucket.tokens += options.ratio * RATIO_SHARE;
    },
    withdraw: (service) => {
      const bucket = refill(service);
      if (bucket.tokens < 1) return false;
      bucket.tokens -= 1;
      return true;
    },
  };
};
