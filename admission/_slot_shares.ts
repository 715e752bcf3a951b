import type { RequestClass } from '../contract/mod.ts';
import { excessSlots } from './concurrency_limit.ts';

/** Slots in use at an instance. */
export interface SlotUse {
  readonly limit: number;
  readonly announced: number;
  readonly inFlight: number;
  /** Bulk requests and requests that have overrun their expected time. */
  readonly long: number;
  /** Checks that have overrun their expected time. */
  readonly longChecks: number;
  /** A lookup or submission was seen in the recent past. */
  readonly hasShort: boolean;
}

const CHECK_RESERVE_FRACTION = 0.1;
const SHORT_RESERVE_FRACTION = 0.1;
const MIN_SLOTS_FOR_SHORT_RESERVE = 4;

const fractionOf = (limit: number, fraction: number) => Math.max(1, Math.round(limit * fraction));

const checkReserve = (limit: number) => (
  limit < 2 ? 0 : fractionOf(limit, CHECK_RESERVE_FRACTION)
);

/**
 * Number of slots that long requests may hold: all but the reserve of checks and, while lookups or
 * submissions arrive, a further reserve for these.
 */
export const longShare = ({ limit, announced, hasShort }: SlotUse) => {
  const slots = Math.min(limit, announced);
  const isReserved = hasShort && slots >= MIN_SLOTS_FOR_SHORT_RESERVE;
  const shortReserve = isReserved ? fractionOf(slots, SHORT_RESERVE_FRACTION) : 0;
  return Math.max(1, slots - checkReserve(slots) - shortReserve);
};

const isBelowShortShare = ({ limit, inFlight }: SlotUse) => inFlight < limit - checkReserve(limit);

/** Whether a request of a class may take a slot now. */
export const maySend: Readonly<Record<RequestClass, (use: SlotUse) => boolean>> = {
  // Checks that became long hold slots that were reserved; others may exceed the limit by as many.
  check: ({
    limit, announced, inFlight, longChecks,
  }) => (
    inFlight < limit + Math.min(longChecks, excessSlots(announced))
  ),
  lookup: isBelowShortShare,
  submission: isBelowShortShare,
  bulk: (use) => use.long < longShare(use) && isBelowShortShare(use),
};

/** Most slots that a class can hold, from which its rate of service is estimated. */
export const classSlots = (requestClass: RequestClass, use: SlotUse) => {
  if (requestClass === 'check') return use.limit;
  if (requestClass === 'bulk') return longShare(use);
  return Math.max(1, use.limit - checkReserve(use.limit));
};
