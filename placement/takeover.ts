import {
  findOwner, mapHotKeys, mapSlots, nextRecord, replaceOwner, replaceSlots, cancelMovesTo,
} from './_record_updates.ts';
import { createOwnerChooser } from './_owner_chooser.ts';
import type { OwnerId, PlacementRecord, SlotState } from './placement_record.ts';

/** Options of a takeover. */
export interface TakeoverOptions {
  /**
   * Owners that are probably lost as well. They receive nothing while another owner is active, so
   * that the loss of a failure domain does not move slots from one lost owner to another.
   */
  readonly avoid?: readonly OwnerId[];
}

/**
 * Marks an owner as removed and reassigns its slots and hot keys to the active owners, each with
 * the removed owner as a predecessor to be cleared. Without an active owner they become unowned and
 * keep their predecessors. Planned moves to and from the removed owner are cancelled.
 *
 * @param record The record to change.
 * @param ownerId The owner that its witnesses no longer hear from.
 * @param options Owners that should receive nothing.
 * @returns The changed record, or `undefined` when the owner is unknown or already removed.
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
  const cancelMoves = cancelMovesTo(ownerId);
  const withoutMoves: PlacementRecord = {
    ...record,
    owners,
    slots: mapSlots(record.slots, cancelMoves),
    hotKeys: mapHotKeys(record.hotKeys, cancelMoves),
  };
  const chooser = createOwnerChooser(withoutMoves, options.avoid);
  const reassign = (state: SlotState): SlotState => ({
    owner: chooser.next(),
    token: record.version + 1,
    predecessors: [...state.predecessors, ownerId],
    movingTo: undefined,
  });
  const replacements = new Map<number, SlotState>();
  for (const [slot, state] of withoutMoves.slots.entries()) {
    if (state.owner === ownerId) replacements.set(slot, reassign(state));
  }
  return nextRecord(record, {
    owners,
    slots: replaceSlots(withoutMoves.slots, replacements),
    hotKeys: mapHotKeys(withoutMoves.hotKeys, (state) => (
      state.owner === ownerId ? reassign(state) : state
    )),
  });
};

/**
 * Removes predecessors whose leases have ended from the slots and hot keys of one owner.
 *
 * @param record The record to change.
 * @param ownerId The current owner, which waits for the predecessors.
 * @param predecessors The former owners whose leases have ended.
 * @returns The changed record, or `undefined` when none of its slots or hot keys names them.
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
  const removePredecessors = (state: SlotState): SlotState => {
    if (state.owner !== ownerId) return state;
    const remaining = state.predecessors.filter((predecessor) => !cleared.has(predecessor));
    return remaining.length === state.predecessors.length
      ? state
      : { ...state, predecessors: remaining };
  };
  return nextRecord(record, {
    slots: mapSlots(record.slots, removePredecessors),
    hotKeys: mapHotKeys(record.hotKeys, removePredecessors),
  });
};

/**
 * Takes over from an owner that an operator has confirmed as lost. The owner is also removed from
 * all predecessors, so this completes a takeover whose witnesses cannot answer.
 *
 * @param record The record to change.
 * @param ownerId The owner whose process no longer runs.
 * @returns The changed record, or `undefined` when the owner is unknown, or when it is already
 * removed and no predecessor of any slot or hot key.
 *
 * @example
 * const changed = confirmLostOwner(record, 'host-1#a');
 */
export const confirmLostOwner = (
  record: PlacementRecord,
  ownerId: OwnerId,
): PlacementRecord | undefined => {
  const removePredecessor = (state: SlotState): SlotState => (
    state.predecessors.includes(ownerId)
      ? { ...state, predecessors: state.predecessors.filter((id) => id !== ownerId) }
      : state
  );
  const afterTakeover = beginTakeover(record, ownerId);
  const { owners, slots, hotKeys } = afterTakeover ?? record;
  return nextRecord(record, {
    owners,
    slots: mapSlots(slots, removePredecessor),
    hotKeys: mapHotKeys(hotKeys, removePredecessor),
  });
};
