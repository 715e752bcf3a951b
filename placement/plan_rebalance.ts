import { countSlots, domainOf } from './_owner_chooser.ts';
import { chooseTargets, type PlannedLoad } from './_choose_targets.ts';
import {
  canMove, type HotKeyMove, type PlannedMove, type SlotMove,
} from './moves.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';

/** Maximum number of planned moves of a service in progress at a time. */
export const DEFAULT_MAX_MOVES = 256;

/** Deviation from an owner's quota, as a fraction of it, up to which no rebalance starts. */
export const DEFAULT_HYSTERESIS = 0.1;

/** Options of `planRebalance`. */
export interface RebalanceOptions {
  /** Maximum number of moves in progress, those already started included. */
  readonly maxMoves?: number;
  /** Tolerated deviation from an owner's quota, as a fraction of the quota. */
  readonly hysteresis?: number;
}

const ownersIn = (record: PlacementRecord, state: 'active' | 'leaving') => (
  record.owners.filter((owner) => owner.state === state)
);

const countMoving = (record: PlacementRecord) => {
  let moving = 0;
  for (const { movingTo } of record.slots) if (movingTo !== undefined) moving += 1;
  for (const { state } of record.hotKeys) if (state.movingTo !== undefined) moving += 1;
  return moving;
};

/** Lists the slots of each owner that can be moved, in ascending order. */
const listMovable = (record: PlacementRecord): ReadonlyMap<OwnerId, number[]> => {
  const movable = new Map<OwnerId, number[]>();
  for (const [slot, state] of record.slots.entries()) {
    if (state.owner === undefined || !canMove(state)) continue;
    const slots = movable.get(state.owner);
    if (slots === undefined) movable.set(state.owner, [slot]);
    else slots.push(slot);
  }
  return movable;
};

/** Returns a function that gives the ratio of load to quota of an owner's failure domain. */
const createDomainLoadLookup = (loads: readonly PlannedLoad[]) => {
  const sums = new Map<string, { load: number; quota: number }>();
  for (const { owner, load, quota } of loads) {
    const sum = sums.get(domainOf(owner)) ?? { load: 0, quota: 0 };
    sums.set(domainOf(owner), { load: sum.load + load, quota: sum.quota + quota });
  }
  return (planned: PlannedLoad) => {
    const sum = sums.get(domainOf(planned.owner));
    return sum === undefined ? 0 : sum.load / sum.quota;
  };
};

/** Chooses the owner furthest below its target, on a tie in the less loaded failure domain. */
const chooseReceiver = (loads: readonly PlannedLoad[]) => {
  const domainLoadOf = createDomainLoadLookup(loads);
  let best: PlannedLoad | undefined;
  for (const candidate of loads) {
    if (candidate.load >= candidate.target) continue;
    const difference = best === undefined
      ? -1
      : candidate.load / candidate.target - best.load / best.target;
    const isBetter = best === undefined || difference < 0
      || (difference === 0 && domainLoadOf(candidate) < domainLoadOf(best));
    if (isBetter) best = candidate;
  }
  return best;
};

/** Chooses the owner with movable slots that is above its target and furthest above its quota. */
const chooseDonor = (
  loads: readonly PlannedLoad[],
  movable: ReadonlyMap<OwnerId, readonly number[]>,
) => {
  let best: PlannedLoad | undefined;
  for (const candidate of loads) {
    const hasSlots = (movable.get(candidate.owner.id)?.length ?? 0) > 0;
    if (candidate.load <= candidate.target || !hasSlots) continue;
    const isBetter = best === undefined
      || candidate.load / candidate.quota > best.load / best.quota;
    if (isBetter) best = candidate;
  }
  return best;
};

const exceedsHysteresis = (hysteresis: number) => ({ load, quota }: PlannedLoad) => {
  const difference = Math.abs(load - quota);
  return difference >= 1 && difference > hysteresis * quota;
};

const planHotKeyMoves = (record: PlacementRecord, budget: number): readonly HotKeyMove[] => {
  const leaving = new Set(ownersIn(record, 'leaving').map(({ id }) => id));
  const loads = ownersIn(record, 'active').map(({ id, weight }) => {
    const hotKeys = record.hotKeys.filter(({ state }) => (state.movingTo ?? state.owner) === id);
    return { id, weight, load: hotKeys.length };
  });
  const moves: HotKeyMove[] = [];
  for (const { key, state } of record.hotKeys) {
    if (moves.length >= budget) break;
    if (state.owner === undefined || !leaving.has(state.owner) || !canMove(state)) continue;
    loads.sort((left, right) => left.load / left.weight - right.load / right.weight);
    const [receiver] = loads;
    if (receiver === undefined) break;
    receiver.load += 1;
    moves.push({ kind: 'hot-key', key, to: receiver.id });
  }
  return moves;
};

/**
 * Plans the fewest moves that distribute the slots over the active owners by weight. Leaving owners
 * are emptied first. Slots move between active owners only when one of these deviates from its
 * quota by more than the hysteresis.
 *
 * @param record The record to plan for; moves in progress are treated as complete.
 * @param options Budget and hysteresis.
 * @returns The moves to start, at most the budget minus the moves in progress.
 *
 * @example
 * const changed = startMoves(record, planRebalance(record, { maxMoves: 64 }));
 */
export const planRebalance = (
  record: PlacementRecord,
  options: RebalanceOptions = {},
): readonly PlannedMove[] => {
  const active = ownersIn(record, 'active');
  const budget = (options.maxMoves ?? DEFAULT_MAX_MOVES) - countMoving(record);
  if (active.length === 0 || budget <= 0) return [];
  const hotKeyMoves = planHotKeyMoves(record, budget);
  const moves: SlotMove[] = [];
  const loads = chooseTargets(active, countSlots(record), record.slotCount);
  const movable = listMovable(record);

  const planMove = (slot: number) => {
    const receiver = chooseReceiver(loads);
    if (receiver === undefined) return false;
    receiver.load += 1;
    moves.push({ kind: 'slot', slot, to: receiver.owner.id });
    return true;
  };
  const isBudgetUsed = () => hotKeyMoves.length + moves.length >= budget;

  for (const { id } of ownersIn(record, 'leaving')) {
    for (const slot of movable.get(id) ?? []) {
      if (isBudgetUsed() || !planMove(slot)) break;
    }
  }
  // While slots of leaving owners wait for budget, every active owner would appear underloaded.
  if (isBudgetUsed() || !loads.some(exceedsHysteresis(options.hysteresis ?? DEFAULT_HYSTERESIS))) {
    return [...hotKeyMoves, ...moves];
  }
  while (!isBudgetUsed()) {
    const donor = chooseDonor(loads, movable);
    const slot = donor && movable.get(donor.owner.id)?.pop();
    if (donor === undefined || slot === undefined || !planMove(slot)) break;
    donor.load -= 1;
  }
  return [...hotKeyMoves, ...moves];
};
