import type {
  Owner, OwnerId, PlacementRecord, SlotState,
} from '../placement/mod.ts';

/** Look-up tables of one record. */
export interface RecordIndex {
  readonly owners: ReadonlyMap<OwnerId, Owner>;
  readonly hotKeys: ReadonlyMap<string, SlotState>;
}

/** A slot number or a hot key. */
export type Unit = number | string;

/** A slot or a hot key with its state. */
export interface UnitState {
  readonly unit: Unit;
  readonly state: SlotState;
}

const indexes = new WeakMap<PlacementRecord, RecordIndex>();

const createIndex = (record: PlacementRecord): RecordIndex => ({
  owners: new Map(record.owners.map((owner) => [owner.id, owner])),
  hotKeys: new Map(record.hotKeys.map(({ key, state }) => [key, state])),
});

/** Returns the look-up tables of a record, built once for each record. */
export const indexOf = (record: PlacementRecord): RecordIndex => {
  const known = indexes.get(record);
  if (known) return known;
  const created = createIndex(record);
  indexes.set(record, created);
  return created;
};

/** Finds an owner in a record that may be missing. */
export const findOwner = (
  record: PlacementRecord | undefined,
  ownerId: OwnerId,
): Owner | undefined => (record ? indexOf(record).owners.get(ownerId) : undefined);

/** The slots and hot keys that an owner has in a record. */
export const unitsOf = (
  record: PlacementRecord | undefined,
  ownerId: OwnerId,
): readonly UnitState[] => {
  if (!record) return [];
  const units: UnitState[] = [];
  for (const [slot, state] of record.slots.entries()) {
    if (state.owner === ownerId) units.push({ unit: slot, state });
  }
  for (const { key, state } of record.hotKeys) {
    if (state.owner === ownerId) units.push({ unit: key, state });
  }
  return units;
};

/** Splits units into slot numbers and hot keys. */
export const splitUnits = (units: readonly Unit[]) => ({
  slots: units.filter((unit) => typeof unit === 'number'),
  hotKeys: units.filter((unit) => typeof unit === 'string'),
});
