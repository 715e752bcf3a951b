import { domainOf } from './_owner_chooser.ts';
import type { Owner, OwnerId } from './placement_record.ts';

/** Absorbs rounding, so that a quota that is a whole number is taken as one. */
const ROUNDING = 1e-9;

/** The load of one active owner while a plan is made. */
export interface PlannedLoad {
  readonly owner: Owner;
  /** Share of all slots by weight. */
  readonly quota: number;
  /** The quota as a whole number of slots. */
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
    const target = Math.floor(quota + ROUNDING);
    return {
      owner, quota, target, load: counts.get(owner.id) ?? 0,
    };
  });
};

const hasFraction = ({ quota, target }: PlannedLoad) => quota - target > ROUNDING;

/**
 * Gives each active owner its quota rounded down or up. The slots that remain after rounding down
 * go first to owners that have them, which needs no move, and then to the failure domains that got
 * the fewest of them.
 */
export const chooseTargets = (
  active: readonly Owner[],
  counts: ReadonlyMap<OwnerId, number>,
  slotCount: number,
): readonly PlannedLoad[] => {
  const loads = createLoads(active, counts, slotCount);
  const extras = new Map<string, number>();
  const extrasOf = ({ owner }: PlannedLoad) => extras.get(domainOf(owner)) ?? 0;
  const candidates = new Set(loads.filter(hasFraction));
  let remaining = slotCount - loads.reduce((sum, { target }) => sum + target, 0);
  while (remaining > 0 && candidates.size > 0) {
    let best: PlannedLoad | undefined;
    for (const candidate of candidates) {
      const keeps = Number(candidate.load > candidate.target);
      const bestKeeps = best === undefined ? -1 : Number(best.load > best.target);
      const isBetter = best === undefined || keeps > bestKeeps
        || (keeps === bestKeeps && extrasOf(candidate) < extrasOf(best));
      if (isBetter) best = candidate;
    }
    if (best === undefined) break;
    extras.set(domainOf(best.owner), extrasOf(best) + 1);
    best.target += 1;
    candidates.delete(best);
    remaining -= 1;
  }
  return loads;
};
