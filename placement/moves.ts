import {
  findOwner, mapHotKeys, nextRecord, replaceSlots,
} from './_record_updates.ts';
import type { OwnerId, PlacementRecord, SlotState } from './placement_record.ts';

/** A planned move of a slot. */
export interface SlotMove {
  readonly kind: 'slot';
  readonly slot: number;
  readonly to: OwnerId;
}

/** A planned move of a hot key that already has its own entry in the record. */
export interface HotKeyMove {
  readonly kind: 'hot-key';
  readonly key: string;
  readonly to: OwnerId;
}

/** A planned move: the owner completes its requests in flight before the destination serves. */
export type PlannedMove = SlotMove | HotKeyMove;

/** Returns whether a planned move may start: owned, not moving, and without predecessors. */
export const canMove = (state: SlotState): boolean => (
  state.owner !== undefined && state.movingTo === undefined && state.predecessors.length === 0
);

/**
 * Returns the owner from which a planned move transfers a slot or hot key.
 *
 * @param record The record that the move was planned for.
 * @param move The planned move.
 * @returns The current owner, or `undefined` when the slot or hot key has none.
 *
 * @example
 * const from = sourceOf(record, { kind: 'slot', slot: 7, to: 'host-2#b' });
 */
export const moveSource = (record: PlacementRecord, move: PlannedMove): OwnerId | undefined => (
  move.kind === 'slot'
    ? record.slots[move.slot]?.owner
    : record.hotKeys.find(({ key }) => key === move.key)?.state.owner
);

/**
 * Marks slots and hot keys as moving. A move is skipped when its destination is not active or
 * already the owner, when another move is in progress, or while predecessors remain to be cleared.
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
 * Transfers moving slots and hot keys to their destinations. The owner calls it after it has
 * stopped serving them. Those that it does not own or that are not moving are left unchanged.
 *
 * @param record The record to change.
 * @param ownerId The owner that transfers them.
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
  const transfer = (state: SlotState): SlotState => {
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
    const transferred = transfer(state);
    if (transferred !== state) replacements.set(slot, transferred);
  }
  const keys = new Set(hotKeys);
  return nextRecord(record, {
    slots: replaceSlots(record.slots, replacements),
    hotKeys: mapHotKeys(record.hotKeys, (state, key) => (
      keys.has(key) ? transfer(state) : state
    )),
  });
};
