import type { Result } from 'neverthrow';
import type { Contract } from '../contract/mod.ts';
import type { RefusalError } from '../errors/mod.ts';

/** One admitted request of a customer; the holder must release it when the request ends. */
export interface LimitPermit {
  readonly release: () => void;
}

/** Fleet-wide rate and concurrency limits of each customer. */
export interface CustomerLimits {
  /** Admits a request, or refuses it with status 429 and a retry delay. */
  readonly admit: (contract: Contract) => Result<LimitPermit, RefusalError>;
  readonly stop: () => void;
}

/** Bounds the retries and hedges of each customer to a fraction of its requests. */
export interface RetryBudget {
  /** Records a first attempt, which earns a fraction of a retry. */
  readonly deposit: (customer: string) => void;
  /** Takes one retry from the budget; false when the budget is exhausted. */
  readonly withdraw: (customer: string) => boolean;
}
