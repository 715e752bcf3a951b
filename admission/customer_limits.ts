import type { Result } from 'neverthrow';
import type { Contract } from '../contract/mod.ts';
import type { RefusalError } from '../errors/mod.ts';

/** One admitted request of a customer. */
export interface LimitTicket {
  readonly release: () => void;
}

/** Rate and concurrency limits of each customer over the whole fleet. */
export interface CustomerLimits {
  /** Admits a request, or refuses it with status 429 and a time after which to retry. */
  readonly admit: (contract: Contract) => Result<LimitTicket, RefusalError>;
  readonly stop: () => void;
}

/** Bounds the retries and hedges of each customer to a fraction of its requests. */
export interface RetryBudget {
  /** Counts a first attempt. */
  readonly deposit: (customer: string) => void;
  /** Takes one retry from the budget; false when it is used up. */
  readonly withdraw: (customer: string) => boolean;
}
