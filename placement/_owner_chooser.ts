import type { Owner, OwnerId, PlacementRecord } from './placement_record.ts';

/** Limit on the slots of an owner, as a multiple of its share by weight (bounded loads). */
export const LOAD_BOUND_FACTOR = 1.1;

/** Selects active owners one slot at a time and counts the slots given to each. */
export interface OwnerChooser {
  /** Returns the owner of the next slot, or `undefined` when there is no active owner. */
  readonly next: () => OwnerId | undefined;
}

interface DomainLoad {
  load: number;
  weight: number;
}

interface OwnerLoad {
  readonly id: OwnerId;
  readonly weight: number;
  readonly limit: number;
  readonly domain: DomainLoad;
  load: number;
}

export const domainOf = (owner: Owner) => `${owner.region}/${owner.failureDomain}`;

/** Counts the slots of each owner as if all planned moves were complete. */
export const countSlots = (record: PlacementRecord): Map<OwnerId, number> => {
  const counts = new Map<OwnerId, number>();
  for (const { owner, movingTo } of record.slots) {
    const destination = movingTo ?? owner;
    if (destination !== undefined) counts.set(destination, (counts.get(destination) ?? 0) + 1);
  }
  return counts;
};

const isLessLoaded = (candidate: OwnerLoad, best: OwnerLoad) => {
  const domainDifference = candidate.domain.load / candidate.domain.weight
    - best.domain.load / best.domain.weight;
  if (domainDifference !== 0) return domainDifference < 0;
  return candidate.load / candidate.weight < best.load / best.weight;
};

/**
 * Creates a chooser that considers the active owners below their limit, takes the failure domain
 * with the lowest load relative to its weight, and in it the owner with the lowest relative load.
 * Owners to avoid are chosen only when no other owner is active.
 */
export const createOwnerChooser = (
  record: PlacementRecord,
  avoid: readonly OwnerId[] = [],
): OwnerChooser => {
  const counts = countSlots(record);
  const allActive = record.owners.filter((owner) => owner.state === 'active');
  const preferred = allActive.filter((owner) => !avoid.includes(owner.id));
  const active = preferred.length > 0 ? preferred : allActive;
  const totalWeight = active.reduce((sum, owner) => sum + owner.weight, 0);
  const domains = new Map<string, DomainLoad>();
  const loads = active.map((owner): OwnerLoad => {
    const domain = domains.get(domainOf(owner)) ?? { load: 0, weight: 0 };
    domains.set(domainOf(owner), domain);
    const load = counts.get(owner.id) ?? 0;
    domain.load += load;
    domain.weight += owner.weight;
    const limit = Math.ceil(((record.slotCount * owner.weight) / totalWeight) * LOAD_BOUND_FACTOR);
    return {
      id: owner.id, weight: owner.weight, limit, domain, load,
    };
  });

  const findLeastLoaded = (candidates: readonly OwnerLoad[]) => {
    let best: OwnerLoad | undefined;
    for (const candidate of candidates) {
      if (best === undefined || isLessLoaded(candidate, best)) best = candidate;
    }
    return best;
  };

  return {
    next: () => {
      const belowLimit = loads.filter(({ load, limit }) => load < limit);
      const chosen = findLeastLoaded(belowLimit.length > 0 ? belowLimit : loads);
      if (chosen === undefined) return undefined;
      chosen.load += 1;
      chosen.domain.load += 1;
      return chosen.id;
    },
  };
};
