import type { Owner, OwnerId, PlacementRecord } from './placement_record.ts';

/** No owner is given slots beyond its share by weight times this bound. */
export const LOAD_BOUND = 1.1;

/** Gives slots to active owners one by one and counts them. */
export interface OwnerChooser {
  /** `undefined` when there is no active owner. */
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

/** Number of slots that each owner has once all planned moves are complete. */
export const countSlots = (record: PlacementRecord): Map<OwnerId, number> => {
  const counts = new Map<OwnerId, number>();
  for (const { owner, movingTo } of record.slots) {
    const destination = movingTo ?? owner;
    if (destination !== undefined) counts.set(destination, (counts.get(destination) ?? 0) + 1);
  }
  return counts;
};

const isBetter = (candidate: OwnerLoad, best: OwnerLoad) => {
  const domainGap = candidate.domain.load / candidate.domain.weight
    - best.domain.load / best.domain.weight;
  if (domainGap !== 0) return domainGap < 0;
  return candidate.load / candidate.weight < best.load / best.weight;
};

/**
 * Chooses, among the active owners below their bound, one in the failure domain with the least load
 * for its weight, and there the owner with the least load for its weight. Owners to avoid are
 * chosen only when there is no other.
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
    const limit = Math.ceil(((record.slotCount * owner.weight) / totalWeight) * LOAD_BOUND);
    return {
      id: owner.id, weight: owner.weight, limit, domain, load,
    };
  });

  const choose = (candidates: readonly OwnerLoad[]) => {
    let best: OwnerLoad | undefined;
    for (const candidate of candidates) {
      if (best === undefined || isBetter(candidate, best)) best = candidate;
    }
    return best;
  };

  return {
    next: () => {
      const below = loads.filter(({ load, limit }) => load < limit);
      const chosen = choose(below.length > 0 ? below : loads);
      if (chosen === undefined) return undefined;
      chosen.load += 1;
      chosen.domain.load += 1;
      return chosen.id;
    },
  };
};
