import type { RetryBudget } from './customer_limits.ts';

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly ratio?: number;
  /** Maximum number of unused retries per customer. */
  readonly maxBalance?: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_BALANCE = 10;
/** Retries available before the first request, so that customers with few requests can retry. */
const INITIAL_BALANCE = 2;

/**
 * Creates a budget that bounds retries and hedges to a fraction of each customer's first attempts,
 * so that retries cannot multiply an overload.
 *
 * @param options Retries per first attempt and maximum balance.
 * @returns The budget.
 *
 * @example
 * const budget = createRetryBudget({ ratio: 0.1 });
 * budget.deposit('customer-a');
 * const mayRetry = budget.withdraw('customer-a');
 */
export const createRetryBudget = (options: RetryBudgetOptions = {}): RetryBudget => {
  const ratio = options.ratio ?? DEFAULT_RATIO;
  const maxBalance = options.maxBalance ?? DEFAULT_MAX_BALANCE;
  const balances = new Map<string, number>();
  return {
    deposit: (customer) => {
      balances.set(
        customer,
        Math.min(maxBalance, (balances.get(customer) ?? INITIAL_BALANCE) + ratio),
      );
    },
    withdraw: (customer) => {
      const balance = balances.get(customer) ?? INITIAL_BALANCE;
      if (balance < 1) return false;
      balances.set(customer, balance - 1);
      return true;
    },
  };
};
