import { MAX_HOT_KEYS } from './hot_keys.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';

/**
 * Rate from which a key may get an owner of its own, as a fraction of the average request rate per
 * owner.
 */
export const HOT_KEY_SHARE = 0.1;

/**
 * Rate below which a hot key returns to its slot, as a fraction of the average request rate per
 * owner.
 */
export const COLD_KEY_SHARE = 0.025;

/** Fraction by which an owner's rate must exceed the average before its keys move. */
export const OVERLOADED_OWNER_EXCESS = 0.1;

const DEFAULT_MAX_CHANGES = 4;

/** Request rate of a key, estimated by the sketch of its owner. */
export interface KeyRate {
  readonly key: string;
  readonly slot: number;
  readonly requestsPerSecond: number;
}

/** Load of a service over one reporting interval. */
export interface ServiceLoad {
  /** Requests per second of each owner, including those for hot keys. */
  readonly ownerRates: ReadonlyMap<OwnerId, number>;
  /** The hottest keys of all owners. Hot keys of the record that are missing here count as cold. */
  readonly keyRates: readonly KeyRate[];
}

/** Planned changes of the hot keys, to be applied by `setHotKey` and `dropHotKey`. */
export interface HotKeyPlan {
  readonly set: readonly { readonly key: string; readonly slot: number; readonly to: OwnerId }[];
  readonly drop: readonly string[];
}

/** Options of `planHotKeys`. */
export interface HotKeyPlanOptions {
  /** Maximum number of changes in one plan. */
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
 * when its owner is more loaded than the average and the least loaded owner, with the key added,
 * would stay below the load of the current owner.
 *
 * @param record The record to plan for.
 * @param load Request rates of the owners and of the hottest keys.
 * @param options Maximum number of changes.
 * @returns The changes; empty when none is needed.
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
  const hotKeyStates = new Map(record.hotKeys.map(({ key, state }) => [key, state]));

  const drop = [...hotKeyStates.keys()]
    .filter((key) => (rates.get(key) ?? 0) < COLD_KEY_SHARE * averageOwnerRate)
    .slice(0, maxChanges);

  const set: { key: string; slot: number; to: OwnerId }[] = [];
  const byRate = [...load.keyRates]
    .sort((left, right) => right.requestsPerSecond - left.requestsPerSecond);
  let freeEntries = MAX_HOT_KEYS - hotKeyStates.size;
  for (const { key, slot, requestsPerSecond } of byRate) {
    if (set.length + drop.length >= maxChanges) break;
    if (requestsPerSecond < HOT_KEY_SHARE * averageOwnerRate) break;
    const state = hotKeyStates.get(key) ?? record.slots[slot];
    const from = owners.find(({ id }) => id === state?.owner);
    if (from === undefined || state?.movingTo !== undefined) continue;
    if (!hotKeyStates.has(key) && freeEntries <= 0) continue;
    if (relativeRate(from) <= average * (1 + OVERLOADED_OWNER_EXCESS)) continue;
    const to = owners.reduce((best, owner) => (
      relativeRate(owner) < relativeRate(best) ? owner : best));
    if ((to.rate + requestsPerSecond) / to.weight >= relativeRate(from)) continue;
    from.rate -= requestsPerSecond;
    to.rate += requestsPerSecond;
    if (!hotKeyStates.has(key)) freeEntries -= 1;
    set.push({ key, slot, to: to.id });
  }
  return { set, drop };
};
