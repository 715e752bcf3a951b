import { MAX_HOT_KEYS } from './hot_keys.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';

/** Part of an average owner's rate from which a key may get an owner of its own. */
export const HOT_KEY_SHARE = 0.1;

/** Part of an average owner's rate below which a key returns to its slot. */
export const COOL_KEY_SHARE = 0.025;

/** How far its owner's rate must be above the average before a key moves. */
export const HOT_OWNER_EXCESS = 0.1;

const DEFAULT_MAX_CHANGES = 4;

/** Request rate of one key, as the sketch of its owner gives it. */
export interface KeyRate {
  readonly key: string;
  readonly slot: number;
  readonly requestsPerSecond: number;
}

/** Load of a service over one period. */
export interface ServiceLoad {
  /** Requests a second of each owner, hot keys included. */
  readonly ownerRates: ReadonlyMap<OwnerId, number>;
  /** The hottest keys of all owners. Keys in the table that are missing here count as cool. */
  readonly keyRates: readonly KeyRate[];
}

/** Changes of the table of hot keys, for `setHotKey` and `dropHotKey`. */
export interface HotKeyPlan {
  readonly set: readonly { readonly key: string; readonly slot: number; readonly to: OwnerId }[];
  readonly drop: readonly string[];
}

/** Options of a hot key plan. */
export interface HotKeyPlanOptions {
  /** Most changes of one plan. */
  readonly maxChanges?: number;
}

interface OwnerRate {
  readonly id: OwnerId;
  readonly weight: number;
  rate: number;
}

const relativeRate = ({ rate, weight }: OwnerRate) => rate / weight;

/**
 * Chooses which keys get an owner of their own and which return to their slot. A key moves only
 * when its owner is busier than the average and the key's rate fits the least busy owner better.
 *
 * @param record The record to plan for.
 * @param load Rates of the owners and of the hottest keys.
 * @param options Budget of the plan.
 * @returns The changes; empty when the load is even.
 *
 * @example
 * const plan = planHotKeys(record, { ownerRates, keyRates });
 */
export const planHotKeys = (
  record: PlacementRecord,
  load: ServiceLoad,
  options: HotKeyPlanOptions = {},
): HotKeyPlan => {
  const maxChanges = options.maxChanges ?? DEFAULT_MAX_CHANGES;
  const owners = record.owners.filter(({ state }) => state === 'active')
    .map(({ id, weight }): OwnerRate => ({ id, weight, rate: load.ownerRates.get(id) ?? 0 }));
  const totalRate = owners.reduce((sum, { rate }) => sum + rate, 0);
  const totalWeight = owners.reduce((sum, { weight }) => sum + weight, 0);
  if (totalRate === 0) return { set: [], drop: [] };
  const average = totalRate / totalWeight;
  const averageOwnerRate = totalRate / owners.length;
  const rates = new Map(load.keyRates.map(({ key, requestsPerSecond }) => (
    [key, requestsPerSecond])));
  const table = new Map(record.hotKeys.map(({ key, state }) => [key, state]));

  const drop = [...table.keys()]
    .filter((key) => (rates.get(key) ?? 0) < COOL_KEY_SHARE * averageOwnerRate)
    .slice(0, maxChanges);

  const set: { key: string; slot: number; to: OwnerId }[] = [];
  const ordered = [...load.keyRates]
    .sort((left, right) => right.requestsPerSecond - left.requestsPerSecond);
  let free = MAX_HOT_KEYS - table.size;
  for (const { key, slot, requestsPerSecond } of ordered) {
    if (set.length + drop.length >= maxChanges) break;
    if (requestsPerSecond < HOT_KEY_SHARE * averageOwnerRate) break;
    const state = table.get(key) ?? record.slots[slot];
    const from = owners.find(({ id }) => id === state?.owner);
    if (from === undefined || state?.movingTo !== undefined) continue;
    if (!table.has(key) && free <= 0) continue;
    if (relativeRate(from) <= average * (1 + HOT_OWNER_EXCESS)) continue;
    const to = owners.reduce((best, owner) => (
      relativeRate(owner) < relativeRate(best) ? owner : best));
    if ((to.rate + requestsPerSecond) / to.weight >= relativeRate(from)) continue;
    from.rate -= requestsPerSecond;
    to.rate += requestsPerSecond;
    if (!table.has(key)) free -= 1;
    set.push({ key, slot, to: to.id });
  }
  return { set, drop };
};
