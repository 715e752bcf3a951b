import {
  findOwner, mapHotKeys, mapSlots, nextRecord, replaceOwner, replaceSlots, withoutMovesTo,
} from './_change.ts';
import { createOwnerChooser } from './_owner_chooser.ts';
import type { OwnerId, PlacementRecord, SlotState } from './placement_record.ts';

/** Options of a takeover. */
export interface TakeoverOptions {
  /**
   * Owners that are probably lost too. They get nothing while there is another active owner, so
   * that the loss of a failure domain does not hand slots from one lost owner to the next.
   */
  readonly avoid?: readonly OwnerId[];
}

/**
 * Removes an owner and gives its slots and hot keys to the active owners, each with the removed
 * owner as a predecessor to be cleared. Without an active owner they stay unowned, with their
 * predecessors. Planned moves towards and from the removed owner are dropped.
 *
 * @param record The record to change.
 * @param ownerId The owner that its witnesses no longer hear.
 * @param options Owners that should get nothing.
 * @returns The changed record, or `undefined` when the owner is unknown or removed before.
 *
 * @example
 * const changed = beginTakeover(record, 'host-1#a');
 */
export const beginTakeover = (
  record: PlacementRecord,
  ownerId: OwnerId,
  options: TakeoverOptions = {},
): PlacementRecord | undefined => {
  const owner = findOwner(record, ownerId);
  if (owner === undefined || owner.state === 'removed') return undefined;
  const owners = replaceOwner(record, { ...owner, state: 'removed' });
  const dropMoves = withoutMovesTo(ownerId);
  const settled: PlacementRecord = {
    ...record,
    owners,
    slots: mapSlots(record.slots, dropMoves),
    hotKeys: mapHotKeys(record.hotKeys, dropMoves),
  };
  const chooser = createOwnerChooser(settled, options.avoid);
  const reassign = (state: SlotState): SlotState => ({
    owner: chooser.next(),
    token: record.version + 1,
    predecessors: [...state.predecessors, ownerId],
    movingTo: undefined,
  });
  const replacements = new Map<number, SlotState>();
  for (const [slot, state] of settled.slots.entries()) {
    if (state.owner === ownerId) replacements.set(slot, reassign(state));
  }
  return nextRecord(record, {
    owners,
    slots: replaceSlots(settled.slots, replacements),
    hotKeys: mapHotKeys(settled.hotKeys, (state) => (
      state.owner === ownerId ? reassign(state) : state
    )),
  });
};

/**
 * Removes predecessors whose leases have ended from the slots and hot keys of one owner.
 *
 * @param record The record to change.
 * @param ownerId The owner that has waited for the predecessors.
 * @param predecessors The former owners that no longer serve.
 * @returns The changed record, or `undefined` when no slot of the owner names them.
 *
 * @example
 * const changed = clearPredecessors(record, 'host-2#b', ['host-1#a']);
 */
export const clearPredecessors = (
  record: PlacementRecord,
  ownerId: OwnerId,
  predecessors: readonly OwnerId[],
): PlacementRecord | undefined => {
  const cleared = new Set(predecessors);
  const clear = (state: SlotState): SlotState => {
    if (state.owner !== ownerId) return state;
    const kept = state.predecessors.filter((predecessor) => !cleared.has(predecessor));
    return kept.length === state.predecessors.length ? state : { ...state, predecessors: kept };
  };
  return nextRecord(record, {
    slots: mapSlots(record.slots, clear),
    hotKeys: mapHotKeys(record.hotKeys, clear),
  });
};

/**
 * Takes over from an owner that an operator has confirmed as lost. Nothing is left to be cleared,
 * so it also ends a takeover whose witnesses cannot answer.
 *
 * @param record The record to change.
 * @param ownerId The owner whose process no longer runs.
 * @returns The changed record, or `undefined` when the owner is unknown or nothing refers to it.
 *
 * @example
 * const changed = confirmLostOwner(record, 'host-1#a');
 */
export const confirmLostOwner = (
  record: PlacementRecord,
  ownerId: OwnerId,
): PlacementRecord | undefined => {
  const clear = (state: SlotState): SlotState => (
    state.predecessors.includes(ownerId)
      ? { ...state, predecessors: state.predecessors.filter((id) => id !== ownerId) }
      : state
  );
  const taken = beginTakeover(record, ownerId);
  const { owners, slots, hotKeys } = taken ?? record;
  return nextRecord(record, {
    owners,
    slots: mapSlots(slots, clear),
    hotKeys: mapHotKeys(hotKeys, clear),
  });
};
