import { nextRecord, replaceSlots } from './_record_updates.ts';
import { canMove } from './moves.ts';
import type {
  HotKey, OwnerId, PlacementRecord, SlotState,
} from './placement_record.ts';

/** Maximum number of hot keys per service; keeps the record below the store's value size limit. */
export const MAX_HOT_KEYS = 128;

/** Maximum length of a hot key in UTF-8 bytes; longer keys stay with their slot. */
export const MAX_HOT_KEY_BYTES = 512;

const isActive = (record: PlacementRecord, ownerId: OwnerId) => (
  record.owners.some((owner) => owner.id === ownerId && owner.state === 'active')
);

const replaceState = (record: PlacementRecord, entry: HotKey, state: SlotState) => (
  nextRecord(record, {
    hotKeys: record.hotKeys.map((hotKey) => (hotKey === entry ? { ...hotKey, state } : hotKey)),
  })
);

/**
 * Starts a planned move of a key to an owner of its own. A key without an entry gets one with the
 * state of its slot, so that the slot's owner keeps the key until it has released it.
 *
 * The owner must finish the requests for the key that were admitted under the slot before it
 * completes the move of the key.
 *
 * @param record The record to change.
 * @param key The hot key.
 * @param slot The slot of the key.
 * @param to Destination of the move.
 * @returns The changed record, or `undefined` when there are `MAX_HOT_KEYS` entries, the key is too
 * long, the destination is not active or already the owner, or the state to move has no owner, is
 * moving or has predecessors.
 *
 * @example
 * const changed = setHotKey(record, 'gate-17', slotOfKey('gate-17', 64), 'host-2#b');
 */
export const setHotKey = (
  record: PlacementRecord,
  key: string,
  slot: number,
  to: OwnerId,
): PlacementRecord | undefined => {
  if (!isActive(record, to)) return undefined;
  const entry = record.hotKeys.find((hotKey) => hotKey.key === key);
  const state = entry?.state ?? record.slots[slot];
  if (state === undefined || !canMove(state) || state.owner === to) return undefined;
  const moving = { ...state, movingTo: to };
  if (entry !== undefined) return replaceState(record, entry, moving);
  if (record.hotKeys.length >= MAX_HOT_KEYS) return undefined;
  if (Buffer.byteLength(key) > MAX_HOT_KEY_BYTES) return undefined;
  return nextRecord(record, { hotKeys: [...record.hotKeys, { key, state: moving }] });
};

/**
 * Removes the entry of a hot key. When its fencing token is above that of the slot, the slot's
 * token is raised to the new version, because a server that checks tokens would reject the lower
 * one.
 */
const removeEntry = (record: PlacementRecord, entry: HotKey, slot: number, state: SlotState) => {
  const raised = new Map<number, SlotState>();
  if (entry.state.token > state.token) raised.set(slot, { ...state, token: record.version + 1 });
  return nextRecord(record, {
    slots: replaceSlots(record.slots, raised),
    hotKeys: record.hotKeys.filter((hotKey) => hotKey !== entry),
  });
};

/**
 * Returns a hot key to its slot. If their owners differ, it starts a planned move to the slot's
 * owner; call it again after the move to remove the entry.
 *
 * Requests admitted under the entry then belong to the slot: the owner must also finish them before
 * it completes a move of the slot.
 *
 * @param record The record to change.
 * @param key The hot key.
 * @param slot The slot of the key.
 * @returns The changed record, or `undefined` when the key has no entry or is already moving to the
 * slot's owner, that owner is not active, the slot is moving, or either of them has no owner or has
 * predecessors.
 *
 * @example
 * const changed = dropHotKey(record, 'gate-17', slotOfKey('gate-17', 64));
 */
export const dropHotKey = (
  record: PlacementRecord,
  key: string,
  slot: number,
): PlacementRecord | undefined => {
  const entry = record.hotKeys.find((hotKey) => hotKey.key === key);
  const state = record.slots[slot];
  if (entry === undefined || state === undefined) return undefined;
  // A moving slot drains without waiting for requests of keys that have their own entry. Removing
  // the entry meanwhile would let the slot move with requests for the key in flight.
  if (!canMove(state) || entry.state.predecessors.length > 0) return undefined;
  if (entry.state.owner === state.owner) return removeEntry(record, entry, slot, state);
  const { owner } = state;
  if (entry.state.owner === undefined || owner === undefined) return undefined;
  if (entry.state.movingTo === owner || !isActive(record, owner)) return undefined;
  return replaceState(record, entry, { ...entry.state, movingTo: owner });
};
