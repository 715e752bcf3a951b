import {
  type OwnershipJson, type OwnerJson, RECORD_FORMAT, type RecordJson, type SlotGroupJson,
} from './_record_schema.ts';
import { formatRanges } from './_token_ranges.ts';
import type {
  Owner, OwnerId, PlacementRecord, SlotState, WitnessReference,
} from './placement_record.ts';

/** Creates a table that assigns each distinct item an index, in order of first use. */
const createIndexedTable = <T>(idOf: (item: T) => string) => {
  const indexes = new Map<string, number>();
  const items: T[] = [];
  return {
    items,
    indexOf: (item: T): number => {
      const existing = indexes.get(idOf(item));
      if (existing !== undefined) return existing;
      indexes.set(idOf(item), items.length);
      return items.push(item) - 1;
    },
  };
};

const encodeOwner = (
  owner: Owner,
  indexOfWitness: (witness: WitnessReference) => number,
): OwnerJson => ({
  node: owner.node,
  incarnation: owner.incarnation,
  instance: owner.instance,
  controlAddress: owner.controlAddress,
  peerAddress: owner.peerAddress,
  region: owner.region,
  failureDomain: owner.failureDomain,
  weight: owner.weight,
  witnesses: owner.witnesses.map(indexOfWitness),
  ...(owner.previousWitnesses.length === 0
    ? {}
    : { previousWitnesses: owner.previousWitnesses.map(indexOfWitness) }),
  state: owner.state,
});

const createOwnershipEncoder = (owners: readonly Owner[]) => {
  const indexes = new Map(owners.map((owner, index) => [owner.id, index]));
  // An unknown owner becomes -1, which the schema rejects on decoding. It does not occur, because
  // no change removes an owner that is still referenced.
  const indexOf = (ownerId: OwnerId) => indexes.get(ownerId) ?? -1;
  return ({ owner, predecessors, movingTo }: SlotState): OwnershipJson => ({
    ...(owner === undefined ? {} : { owner: indexOf(owner) }),
    ...(predecessors.length === 0 ? {} : { predecessors: predecessors.map(indexOf) }),
    ...(movingTo === undefined ? {} : { movingTo: indexOf(movingTo) }),
  });
};

interface SlotGroup {
  readonly state: SlotState;
  readonly byToken: Map<number, number[]>;
}

/**
 * Returns the key by which slots are grouped. Slots without a move or predecessors, nearly all of a
 * record, use the owner itself, which avoids building a string.
 */
const groupKeyOf = ({ owner, predecessors, movingTo }: SlotState) => (
  predecessors.length === 0 && movingTo === undefined
    ? owner
    : ` ${owner} ${movingTo} ${predecessors.join(' ')}`
);

const encodeSlots = (
  slots: readonly SlotState[],
  encodeOwnership: (state: SlotState) => OwnershipJson,
): SlotGroupJson[] => {
  const groups = new Map<string | undefined, SlotGroup>();
  for (const [slot, state] of slots.entries()) {
    const groupKey = groupKeyOf(state);
    let group = groups.get(groupKey);
    if (group === undefined) {
      group = { state, byToken: new Map() };
      groups.set(groupKey, group);
    }
    const slotsWithToken = group.byToken.get(state.token);
    if (slotsWithToken === undefined) group.byToken.set(state.token, [slot]);
    else slotsWithToken.push(slot);
  }
  return [...groups.values()].map(({ state, byToken }) => {
    const tokens = [...byToken].map(([token, members]) => ({ token, slots: members }));
    return { ...encodeOwnership(state), ranges: formatRanges(tokens) };
  });
};

/**
 * Encodes a record as JSON text. Slots are grouped by ownership and token and written as ranges.
 *
 * @param record The record to encode.
 * @returns JSON text that `decodeRecord` reads.
 *
 * @example
 * await store.compareAndSwap('placement/ledger', revision, encodeRecord(record));
 */
export const encodeRecord = (record: PlacementRecord): string => {
  const witnesses = createIndexedTable<WitnessReference>(
    ({ id, controlAddress, failureDomain }) => (
      JSON.stringify([id, controlAddress, failureDomain])
    ),
  );
  const owners = record.owners.map((owner) => encodeOwner(owner, witnesses.indexOf));
  const encodeOwnership = createOwnershipEncoder(record.owners);
  const json: RecordJson = {
    format: RECORD_FORMAT,
    service: record.service,
    version: record.version,
    writer: record.writer,
    slotCount: record.slotCount,
    witnesses: witnesses.items.map(({ id, controlAddress, failureDomain }) => (
      { id, controlAddress, failureDomain }
    )),
    owners,
    slots: encodeSlots(record.slots, encodeOwnership),
    hotKeys: record.hotKeys.map(({ key, state }) => (
      { key, token: state.token, ...encodeOwnership(state) }
    )),
  };
  return JSON.stringify(json);
};
