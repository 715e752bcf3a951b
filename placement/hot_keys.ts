import { nextRecord, replaceSlots } from './_change.ts';
import { canMove } from './moves.ts';
import type {
  HotKey, OwnerId, PlacementRecord, SlotState,
} from './placement_record.ts';

/** Largest number of hot keys of a service; it keeps the record under the store's value limit. */
export const MAX_HOT_KEYS = 128;

/** Longest hot key in bytes of UTF-8; longer keys stay with their slot. */
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
 * Plans the move of a key to an owner of its own. A key that is not in the table enters it with the
 * state of its slot, so that the slot's owner keeps it until it has released it.
 *
 * The owner has to finish the requests for the key that entered under the slot before it completes
 * the move of the key.
 *
 * @param record The record to change.
 * @param key The hot key.
 * @param slot The slot of the key.
 * @param to The owner that the key moves to.
 * @returns The changed record, or `undefined` when the table is full, the key is too long, the
 * destination is not active, or the key or its slot is moving or not settled.
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
 * Takes an entry out of the table. When its token is above the token of the slot, the slot's token
 * rises to the new version, because a server that checks tokens would refuse the lower one.
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
 * Returns a hot key to its slot. While they have different owners, a planned move to the slot's
 * owner is started; call it again after the move to take the entry out of the table.
 *
 * Requests that entered under the entry then belong to the slot: the owner has to finish them too
 * before it completes a move of the slot.
 *
 * @param record The record to change.
 * @param key The hot key.
 * @param slot The slot of the key.
 * @returns The changed record, or `undefined` when the key is not in the table, is on its way, or
 * the key or its slot is not settled.
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
  // The owner drains a moving slot without the requests of an overridden key, so an entry that
  // disappeared meanwhile would let the slot move with requests of the key in flight.
  if (!canMove(state) || entry.state.predecessors.length > 0) return undefined;
  if (entry.state.owner === state.owner) return removeEntry(record, entry, slot, state);
  const { owner } = state;
  if (entry.state.owner === undefined || owner === undefined) return undefined;
  if (entry.state.movingTo === owner || !isActive(record, owner)) return undefined;
  return replaceState(record, entry, { ...entry.state, movingTo: owner });
};
