import {
  findOwner, mapHotKeys, nextRecord, replaceSlots,
} from './_change.ts';
import type { OwnerId, PlacementRecord, SlotState } from './placement_record.ts';

/** A planned move of one slot. */
export interface SlotMove {
  readonly kind: 'slot';
  readonly slot: number;
  readonly to: OwnerId;
}

/** A planned move of one hot key that is in the table already. */
export interface HotKeyMove {
  readonly kind: 'hot-key';
  readonly key: string;
  readonly to: OwnerId;
}

/** A planned move: the owner finishes what it has in flight before the destination serves. */
export type PlannedMove = SlotMove | HotKeyMove;

/** Whether a planned move may begin: owned, settled and not moving. */
export const canMove = (state: SlotState): boolean => (
  state.owner !== undefined && state.movingTo === undefined && state.predecessors.length === 0
);

/**
 * Finds the owner that a planned move starts from.
 *
 * @param record The record of the plan.
 * @param move The planned move.
 * @returns The owner, or `undefined` when the slot or the hot key has none.
 *
 * @example
 * const from = sourceOf(record, { kind: 'slot', slot: 7, to: 'host-2#b' });
 */
export const sourceOf = (record: PlacementRecord, move: PlannedMove): OwnerId | undefined => (
  move.kind === 'slot'
    ? record.slots[move.slot]?.owner
    : record.hotKeys.find(({ key }) => key === move.key)?.state.owner
);

/**
 * Marks slots and hot keys as moving. A move is left out when its destination is not active, when
 * the slot is there or moving already, or while the slot still has predecessors to clear.
 *
 * @param record The record to change.
 * @param moves The moves to start.
 * @returns The changed record, or `undefined` when no move can start.
 *
 * @example
 * const changed = startMoves(record, [{ kind: 'slot', slot: 7, to: 'host-2#b' }]);
 */
export const startMoves = (
  record: PlacementRecord,
  moves: readonly PlannedMove[],
): PlacementRecord | undefined => {
  const active = new Set(
    record.owners.filter((owner) => owner.state === 'active').map((owner) => owner.id),
  );
  const replacements = new Map<number, SlotState>();
  const keyDestinations = new Map<string, OwnerId>();
  for (const move of moves) {
    if (!active.has(move.to)) continue;
    if (move.kind === 'hot-key') {
      keyDestinations.set(move.key, move.to);
      continue;
    }
    const state = record.slots[move.slot];
    if (state === undefined || !canMove(state) || state.owner === move.to) continue;
    replacements.set(move.slot, { ...state, movingTo: move.to });
  }
  return nextRecord(record, {
    slots: replaceSlots(record.slots, replacements),
    hotKeys: mapHotKeys(record.hotKeys, (state, key) => {
      const to = keyDestinations.get(key);
      if (to === undefined || !canMove(state) || state.owner === to) return state;
      return { ...state, movingTo: to };
    }),
  });
};

/**
 * Gives moving slots and hot keys to their destinations. The owner calls it after it has stopped
 * serving them. Slots that it does not own or that are not moving stay as they are.
 *
 * @param record The record to change.
 * @param ownerId The owner that hands over.
 * @param slots The slots that it has stopped serving.
 * @param hotKeys The hot keys that it has stopped serving.
 * @returns The changed record, or `undefined` when none of them is moving from the owner.
 *
 * @example
 * const changed = completeMoves(record, 'host-1#a', [7], []);
 */
export const completeMoves = (
  record: PlacementRecord,
  ownerId: OwnerId,
  slots: readonly number[],
  hotKeys: readonly string[],
): PlacementRecord | undefined => {
  const owner = findOwner(record, ownerId);
  if (owner === undefined || owner.state === 'removed') return undefined;
  const handOver = (state: SlotState): SlotState => {
    if (state.owner !== ownerId || state.movingTo === undefined) return state;
    const token = record.version + 1;
    return {
      ...state, owner: state.movingTo, token, movingTo: undefined,
    };
  };
  const replacements = new Map<number, SlotState>();
  for (const slot of slots) {
    const state = record.slots[slot];
    if (state === undefined) continue;
    const handedOver = handOver(state);
    if (handedOver !== state) replacements.set(slot, handedOver);
  }
  const keys = new Set(hotKeys);
  return nextRecord(record, {
    slots: replaceSlots(record.slots, replacements),
    hotKeys: mapHotKeys(record.hotKeys, (state, key) => (
      keys.has(key) ? handOver(state) : state
    )),
  });
};
