import { domainOf } from './_owner_chooser.ts';
import type { Owner, OwnerId } from './placement_record.ts';

/** Absorbs floating-point error, so that a whole quota is treated as a whole number. */
const ROUNDING_TOLERANCE = 1e-9;

/** Load of one active owner during planning, in slots. */
export interface PlannedLoad {
  readonly owner: Owner;
  /** Share of all slots by weight, possibly fractional. */
  readonly quota: number;
  /** The quota rounded down or up to a whole number of slots. */
  target: number;
  load: number;
}

const createLoads = (
  active: readonly Owner[],
  counts: ReadonlyMap<OwnerId, number>,
  slotCount: number,
): readonly PlannedLoad[] => {
  const totalWeight = active.reduce((sum, owner) => sum + owner.weight, 0);
  return active.map((owner) => {
    const quota = (slotCount * owner.weight) / totalWeight;
    const target = Math.floor(quota + ROUNDING_TOLERANCE);
    return {
      owner, quota, target, load: counts.get(owner.id) ?? 0,
    };
  });
};

const hasFraction = ({ quota, target }: PlannedLoad) => quota - target > ROUNDING_TOLERANCE;

/**
 * Sets the target of each active owner to its quota, rounded down or up. The slots that remain
 * after rounding down go first to owners that already hold more than their target, because this
 * needs no move, and then to the failure domains that received the fewest of them.
 */
export const chooseTargets = (
  active: readonly Owner[],
  counts: ReadonlyMap<OwnerId, number>,
  slotCount: number,
): readonly PlannedLoad[] => {
  const loads = createLoads(active, counts, slotCount);
  const extraSlots = new Map<string, number>();
  const extraSlotsOf = ({ owner }: PlannedLoad) => extraSlots.get(domainOf(owner)) ?? 0;
  const candidates = new Set(loads.filter(hasFraction));
  let remaining = slotCount - loads.reduce((sum, { target }) => sum + target, 0);
  while (remaining > 0 && candidates.size > 0) {
    let best: PlannedLoad | undefined;
    for (const candidate of candidates) {
      const hasExtra = Number(candidate.load > candidate.target);
      const bestHasExtra = best === undefined ? -1 : Number(best.load > best.target);
      const isBetter = best === undefined || hasExtra > bestHasExtra
        || (hasExtra === bestHasExtra && extraSlotsOf(candidate) < extraSlotsOf(best));
      if (isBetter) best = candidate;
    }
    if (best === undefined) break;
    extraSlots.set(domainOf(best.owner), extraSlotsOf(best) + 1);
    best.target += 1;
    candidates.delete(best);
    remaining -= 1;
  }
  return loads;
};
