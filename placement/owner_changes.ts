import {
  cancelMovesTo,
  findOwner,
  mapHotKeys,
  mapSlots,
  nextRecord,
  replaceOwner,
  replaceSlots,
  UNOWNED_STATE,
} from './_record_updates.ts';
import { createOwnerChooser, type OwnerChooser } from './_owner_chooser.ts';
import type {
  HotKey, Owner, OwnerId, PlacementRecord, SlotState,
} from './placement_record.ts';

/**
 * Creates a record without owners. Its version is 0, so the first write creates version 1.
 *
 * @param service Name of the service.
 * @param slotCount Number of slots, a power of two.
 * @returns The record.
 *
 * @example
 * const record = createRecord('ledger', 64);
 */
export const createRecord = (service: string, slotCount: number): PlacementRecord => ({
  service,
  version: 0,
  slotCount,
  owners: [],
  slots: Array.from({ length: slotCount }, () => UNOWNED_STATE),
  hotKeys: [],
  writer: '',
});

const assign = (state: SlotState, chooser: OwnerChooser, token: number): SlotState => {
  const owner = chooser.next();
  return owner === undefined ? state : { ...state, owner, token };
};

const assignSlots = (record: PlacementRecord, chooser: OwnerChooser, token: number) => {
  const replacements = new Map<number, SlotState>();
  for (const [slot, state] of record.slots.entries()) {
    if (state.owner !== undefined) continue;
    const assigned = assign(state, chooser, token);
    if (assigned !== state) replacements.set(slot, assigned);
  }
  return replaceSlots(record.slots, replacements);
};

const assignHotKeys = (record: PlacementRecord, chooser: OwnerChooser, token: number) => (
  mapHotKeys(record.hotKeys, (state) => (
    state.owner === undefined ? assign(state, chooser, token) : state
  ))
);

/**
 * Adds an owner and assigns all unowned slots and hot keys to the active owners by weight. Slots
 * that have an owner keep it; `planRebalance` plans their moves.
 *
 * @param record The record to change.
 * @param owner The new owner, with its witnesses.
 * @returns The changed record, or `undefined` when the record has an owner with this identifier.
 *
 * @example
 * const changed = addOwner(record, owner);
 */
export const addOwner = (record: PlacementRecord, owner: Owner): PlacementRecord | undefined => {
  if (findOwner(record, owner.id) !== undefined) return undefined;
  const owners = [...record.owners, owner];
  const token = record.version + 1;
  const chooser = createOwnerChooser({ ...record, owners });
  const slots = assignSlots(record, chooser, token);
  return nextRecord(record, { owners, slots, hotKeys: assignHotKeys(record, chooser, token) });
};

/**
 * Marks an active owner as leaving. Planned moves to it are cancelled. It keeps its slots until
 * they are moved to other owners.
 *
 * @param record The record to change.
 * @param ownerId The owner to mark.
 * @returns The changed record, or `undefined` when the owner is not active.
 *
 * @example
 * const changed = startLeaving(record, 'host-1#a');
 */
export const startLeaving = (
  record: PlacementRecord,
  ownerId: OwnerId,
): PlacementRecord | undefined => {
  const owner = findOwner(record, ownerId);
  if (owner?.state !== 'active') return undefined;
  return nextRecord(record, {
    owners: replaceOwner(record, { ...owner, state: 'leaving' }),
    slots: mapSlots(record.slots, cancelMovesTo(ownerId)),
    hotKeys: mapHotKeys(record.hotKeys, cancelMovesTo(ownerId)),
  });
};

const refersTo = (state: SlotState, ownerId: OwnerId) => (
  state.owner === ownerId || state.movingTo === ownerId || state.predecessors.includes(ownerId)
);

/**
 * Returns whether any slot or hot key names an owner, as owner, move destination or predecessor.
 *
 * @param record The record to search.
 * @param ownerId The owner to look for.
 * @returns Whether the record refers to the owner.
 *
 * @example
 * const isRemovable = !isReferenced(record, 'host-1#a');
 */
export const isReferenced = (record: PlacementRecord, ownerId: OwnerId): boolean => {
  const states: Iterable<SlotState> = new Set(record.slots);
  for (const state of states) if (refersTo(state, ownerId)) return true;
  return record.hotKeys.some((hotKey: HotKey) => refersTo(hotKey.state, ownerId));
};

/**
 * Removes an owner from the record when it is leaving or removed and nothing refers to it.
 *
 * @param record The record to change.
 * @param ownerId The owner to remove.
 * @returns The changed record, or `undefined` when the owner is unknown, active or referenced.
 *
 * @example
 * const changed = removeOwner(record, 'host-1#a');
 */
export const removeOwner = (
  record: PlacementRecord,
  ownerId: OwnerId,
): PlacementRecord | undefined => {
  const owner = findOwner(record, ownerId);
  if (owner === undefined || owner.state === 'active') return undefined;
  if (isReferenced(record, ownerId)) return undefined;
  return nextRecord(record, { owners: record.owners.filter(({ id }) => id !== ownerId) });
};
