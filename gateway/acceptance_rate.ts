import type { Clock } from '../clock/mod.ts';

/** Relates the requests for a target to those that it has taken, with a half-life. */
export interface AcceptanceRate {
  /** Counts requests that ended; `requests` is 1 unless they were withheld together. */
  readonly record: (isAccepted: boolean, requests?: number) => void;
  /** Fraction of the requests that is beyond what the target can be asked to take. */
  readonly excess: () => number;
}

/** Options of an acceptance rate. */
export interface AcceptanceRateOptions {
  readonly clock: Clock;
  readonly halfLifeMs: number;
  /** Requests to send for each one that is taken; the others show when there is room again. */
  readonly sentPerAccepted: number;
  /** Requests within about the half-life below which there is no excess; none by default. */
  readonly minRequests?: number;
}

/** Keeps a few refusals from counting as a lack of capacity. */
const PRIOR_REQUESTS = 2;

/**
 * Creates a rate without requests.
 *
 * @param options Clock, half-life and how many requests to send for each one that is taken.
 * @returns The rate.
 *
 * @example
 * rate.record(isAccepted);
 * const isWithheld = random() < rate.excess();
 */
export const createAcceptanceRate = (options: AcceptanceRateOptions): AcceptanceRate => {
  const {
    clock, halfLifeMs, sentPerAccepted, minRequests = 0,
  } = options;
  let requests = 0;
  let accepted = 0;
  let countedAt = clock.now();

  const decay = () => {
    const now = clock.now();
    const factor = 2 ** ((countedAt - now) / halfLifeMs);
    requests *= factor;
    accepted *= factor;
    countedAt = now;
  };

  return {
    record: (isAccepted, count = 1) => {
      decay();
      requests += count;
      if (isAccepted) accepted += count;
    },
    excess: () => {
      decay();
      if (requests < minRequests) return 0;
      return Math.max(0, requests - accepted * sentPerAccepted) / (requests + 1 + PRIOR_REQUESTS);
    },
  };
};
