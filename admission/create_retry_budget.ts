import type { RetryBudget } from './customer_limits.ts';

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries per first attempt. */
  readonly ratio?: number;
  /** Retries that a customer may have saved up. */
  readonly maxSaved?: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_SAVED = 10;
/** Lets a customer with few requests retry at all. */
const INITIAL_RETRIES = 2;

/**
 * Creates a budget that bounds retries and hedges to a fraction of each customer's first attempts,
 * so that retries cannot multiply an overload.
 *
 * @param options Fraction and bound of saved retries.
 * @returns The budget.
 *
 * @example
 * const budget = createRetryBudget({ ratio: 0.1 });
 * budget.deposit('customer-a');
 * const mayRetry = budget.withdraw('customer-a');
 */
export const createRetryBudget = (options: RetryBudgetOptions = {}): RetryBudget => {
  const ratio = options.ratio ?? DEFAULT_RATIO;
  const maxSaved = options.maxSaved ?? DEFAULT_MAX_SAVED;
  const saved = new Map<string, number>();
  return {
    deposit: (customer) => {
      saved.set(customer, Math.min(maxSaved, (saved.get(customer) ?? INITIAL_RETRIES) + ratio));
    },
    withdraw: (customer) => {
      const tokens = saved.get(customer) ?? INITIAL_RETRIES;
      if (tokens < 1) return false;
      saved.set(customer, tokens - 1);
      return true;
    },
  };
};
