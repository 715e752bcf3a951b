import type {
  Owner, OwnerId, PlacementRecord, SlotState,
} from '../placement/mod.ts';

/** Lookup tables of one placement record. */
export interface RecordIndex {
  readonly owners: ReadonlyMap<OwnerId, Owner>;
  readonly hotKeys: ReadonlyMap<string, SlotState>;
}

/** Smallest unit of placement: a slot number or a hot key. */
export type PlacementUnit = number | string;

/** A slot or hot key with its state in a record. */
export interface PlacementUnitState {
  readonly unit: PlacementUnit;
  readonly state: SlotState;
}

const indexCache = new WeakMap<PlacementRecord, RecordIndex>();

const createIndex = (record: PlacementRecord): RecordIndex => ({
  owners: new Map(record.owners.map((owner) => [owner.id, owner])),
  hotKeys: new Map(record.hotKeys.map(({ key, state }) => [key, state])),
});

/** Returns the lookup tables of a record, which are built once for each record object. */
export const recordIndexOf = (record: PlacementRecord): RecordIndex => {
  const known = indexCache.get(record);
  if (known) return known;
  const created = createIndex(record);
  indexCache.set(record, created);
  return created;
};

/** Finds an owner in a record; `undefined` when the record or the owner is missing. */
export const findOwner = (
  record: PlacementRecord | undefined,
  ownerId: OwnerId,
): Owner | undefined => (record ? recordIndexOf(record).owners.get(ownerId) : undefined);

/** Returns the slots and hot keys that belong to an owner in a record. */
export const unitsOwnedBy = (
  record: PlacementRecord | undefined,
  ownerId: OwnerId,
): readonly PlacementUnitState[] => {
  if (!record) return [];
  const units: PlacementUnitState[] = [];
  for (const [slot, state] of record.slots.entries()) {
    if (state.owner === ownerId) units.push({ unit: slot, state });
  }
  for (const { key, state } of record.hotKeys) {
    if (state.owner === ownerId) units.push({ unit: key, state });
  }
  return units;
};

/** Separates placement units into slot numbers and hot keys. */
export const splitUnits = (units: readonly PlacementUnit[]) => ({
  slots: units.filter((unit) => typeof unit === 'number'),
  hotKeys: units.filter((unit) => typeof unit === 'string'),
});
