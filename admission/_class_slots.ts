import { type RequestClass, requestClasses } from '../contract/mod.ts';
import { maxExcessSlots } from './concurrency_limit.ts';

/** Slots of an instance and their use. */
export interface SlotUsage {
  /** Current concurrency limit. */
  readonly limit: number;
  /** Slots that the instance announces. */
  readonly announced: number;
  readonly inFlight: number;
  /** Bulk requests in flight, and requests that run longer than expected. */
  readonly long: number;
  readonly bulk: number;
  /** Checks in flight. */
  readonly checks: number;
  /** Checks in flight that run longer than expected. */
  readonly longChecks: number;
  /** Queued lookups and submissions. */
  readonly queuedShort: number;
  /** Whether a lookup or submission arrived recently. */
  readonly hasRecentShort: boolean;
}

/** Relative slot time of each class while all classes are backlogged. */
export const CLASS_WEIGHT: Readonly<Record<RequestClass, number>> = {
  check: 4, lookup: 2, submission: 2, bulk: 2,
};

const CHECK_RESERVE_FRACTION = 0.1;
const SHORT_RESERVE_FRACTION = 0.1;
/** Checks lend their reserve while long requests hold at most one slot in this many. */
const BULK_LONG_DIVISOR = 3;
/** The same while no bulk request runs: stragglers hold their slots for a shorter time. */
const STRAGGLER_LONG_DIVISOR = 2;
/** Checks lend their reserve from this number of queued short requests per slot. */
const MIN_QUEUED_PER_SLOT = 4;
const MIN_SLOTS_FOR_SHORT_RESERVE = 4;

/** Fraction of the slots, at least one. */
const slotFraction = (limit: number, fraction: number) => Math.max(1, Math.round(limit * fraction));

const checkReservedSlots = (limit: number) => (
  limit < 2 ? 0 : slotFraction(limit, CHECK_RESERVE_FRACTION)
);

/**
 * Maximum number of slots for long requests: all but the reserve of checks and, while lookups or
 * submissions arrive, a further reserve for these.
 */
export const maxLongSlots = ({ limit, announced, hasRecentShort }: SlotUsage) => {
  const slots = Math.min(limit, announced);
  const isReserved = hasRecentShort && slots >= MIN_SLOTS_FOR_SHORT_RESERVE;
  const shortReserve = isReserved ? slotFraction(slots, SHORT_RESERVE_FRACTION) : 0;
  return Math.max(1, slots - checkReservedSlots(slots) - shortReserve);
};

/**
 * Maximum number of slots for all classes but checks. While few long requests run and many short
 * ones are queued, these borrow the reserve of checks, as a slot soon becomes free again. Without
 * borrowing, one slot of six would be idle at peak load.
 */
const maxSharedSlots = ({
  limit, announced, long, bulk, queuedShort,
}: SlotUsage) => {
  const reserved = limit - checkReservedSlots(limit);
  const divisor = bulk === 0 ? STRAGGLER_LONG_DIVISOR : BULK_LONG_DIVISOR;
  const mayBorrow = queuedShort >= limit * MIN_QUEUED_PER_SLOT && long * divisor <= limit;
  return mayBorrow ? Math.max(reserved, Math.min(limit, announced)) : reserved;
};

/** Slots beyond the limit for checks, which replace reserved slots held by other requests. */
const checkExcessSlots = ({
  limit, announced, inFlight, checks, longChecks,
}: SlotUsage) => {
  const borrowed = Math.max(0, inFlight - checks - (limit - checkReservedSlots(limit)));
  return Math.min(borrowed + longChecks, maxExcessSlots(announced));
};

/** Whether a request of a class may be dispatched now. */
export const mayDispatch: Readonly<Record<RequestClass, (usage: SlotUsage) => boolean>> = {
  check: (usage) => usage.inFlight < usage.limit + checkExcessSlots(usage),
  lookup: (usage) => usage.inFlight < maxSharedSlots(usage),
  submission: (usage) => usage.inFlight < maxSharedSlots(usage),
  // The same bound as for short requests, which would otherwise take every slot that frees up.
  bulk: (usage) => usage.long < maxLongSlots(usage) && usage.inFlight < maxSharedSlots(usage),
};

/** Maximum number of slots of a class, from which its service rate is estimated. */
export const maxClassSlots = (requestClass: RequestClass, usage: SlotUsage) => {
  if (requestClass === 'check') return usage.limit;
  if (requestClass === 'bulk') return maxLongSlots(usage);
  return Math.max(1, maxSharedSlots(usage));
};

/**
 * Fraction of the slot time that a class can expect. Backlogged checks reduce the fraction of no
 * other class, as they rarely use all of their weight.
 */
export const classFraction = (
  requestClass: RequestClass,
  isBacklogged: (name: RequestClass) => boolean,
) => {
  let weights = CLASS_WEIGHT[requestClass];
  for (const name of requestClasses) {
    if (name === requestClass || name === 'check' || !isBacklogged(name)) continue;
    weights += CLASS_WEIGHT[name];
  }
  return CLASS_WEIGHT[requestClass] / weights;
};
