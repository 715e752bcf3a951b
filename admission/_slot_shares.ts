import { type RequestClass, requestClasses } from '../contract/mod.ts';
import { excessSlots } from './concurrency_limit.ts';

/** Slots in use at an instance. */
export interface SlotUse {
  readonly limit: number;
  readonly announced: number;
  readonly inFlight: number;
  /** Bulk requests and requests that have overrun their expected time. */
  readonly long: number;
  readonly bulk: number;
  /** Checks in flight. */
  readonly checks: number;
  /** Checks that have overrun their expected time. */
  readonly longChecks: number;
  /** Lookups and submissions that are queued. */
  readonly shortQueued: number;
  /** A lookup or submission was seen in the recent past. */
  readonly hasShort: boolean;
}

/** Slot time that each class gets when all of them are backlogged. */
export const CLASS_WEIGHT: Readonly<Record<RequestClass, number>> = {
  check: 4, lookup: 2, submission: 2, bulk: 2,
};

const CHECK_RESERVE_FRACTION = 0.1;
const SHORT_RESERVE_FRACTION = 0.1;
/** The reserve of checks is lent while long requests hold at most one slot in this many. */
const MAX_LONG_DIVISOR = 3;
/** As above while no bulk request runs; stragglers hold their slots for a shorter time. */
const MAX_STRAGGLER_DIVISOR = 2;
/** Short requests queued per slot from which on the reserve of checks is lent. */
const MIN_BACKLOG_PER_SLOT = 4;
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

/**
 * Slots that all but checks may hold. While few long requests run and many short ones wait, these
 * may borrow the reserve of checks, because a slot soon becomes free; otherwise one slot of six
 * would stand empty at the crest of the demand.
 */
const shortShare = ({
  limit, announced, long, bulk, shortQueued,
}: SlotUse) => {
  const reserved = limit - checkReserve(limit);
  const divisor = bulk === 0 ? MAX_STRAGGLER_DIVISOR : MAX_LONG_DIVISOR;
  const mayBorrow = shortQueued >= limit * MIN_BACKLOG_PER_SLOT && long * divisor <= limit;
  return mayBorrow ? Math.max(reserved, Math.min(limit, announced)) : reserved;
};

/** Slots beyond the limit that checks may take in place of the reserve that others hold. */
const checkExcess = ({
  limit, announced, inFlight, checks, longChecks,
}: SlotUse) => {
  const borrowed = Math.max(0, inFlight - checks - (limit - checkReserve(limit)));
  return Math.min(borrowed + longChecks, excessSlots(announced));
};

/** Whether a request of a class may take a slot now. */
export const maySend: Readonly<Record<RequestClass, (use: SlotUse) => boolean>> = {
  check: (use) => use.inFlight < use.limit + checkExcess(use),
  lookup: (use) => use.inFlight < shortShare(use),
  submission: (use) => use.inFlight < shortShare(use),
  // The same bound as for short requests: with a lower one, these would take every slot that frees.
  bulk: (use) => use.long < longShare(use) && use.inFlight < shortShare(use),
};

/** Most slots that a class can hold, from which its rate of service is estimated. */
export const classSlots = (requestClass: RequestClass, use: SlotUse) => {
  if (requestClass === 'check') return use.limit;
  if (requestClass === 'bulk') return longShare(use);
  return Math.max(1, shortShare(use));
};

/**
 * Part of the slot time that a class can expect. Backlogged checks count for themselves only, as
 * they seldom use up their weight.
 */
export const classPart = (
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
