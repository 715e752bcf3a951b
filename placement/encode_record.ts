import {
  type HolderJson, type OwnerJson, RECORD_FORMAT, type RecordJson, type SlotGroupJson,
} from './_record_schema.ts';
import { formatRanges } from './_slot_ranges.ts';
import type {
  Owner, OwnerId, PlacementRecord, SlotState, WitnessReference,
} from './placement_record.ts';

/** Gives each distinct item an index, in order of first use. */
const createTable = <T>(idOf: (item: T) => string) => {
  const indexes = new Map<string, number>();
  const items: T[] = [];
  return {
    items,
    indexOf: (item: T): number => {
      const known = indexes.get(idOf(item));
      if (known !== undefined) return known;
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

const createHolderEncoder = (owners: readonly Owner[]) => {
  const indexes = new Map(owners.map((owner, index) => [owner.id, index]));
  // -1 fails the schema on reading; no change of a record leaves a reference without its owner.
  const indexOf = (ownerId: OwnerId) => indexes.get(ownerId) ?? -1;
  return ({ owner, predecessors, movingTo }: SlotState): HolderJson => ({
    ...(owner === undefined ? {} : { owner: indexOf(owner) }),
    ...(predecessors.length === 0 ? {} : { predecessors: predecessors.map(indexOf) }),
    ...(movingTo === undefined ? {} : { movingTo: indexOf(movingTo) }),
  });
};

interface SlotGroup {
  readonly state: SlotState;
  readonly byToken: Map<number, number[]>;
}

/** Settled slots, nearly all of a record, are grouped by their owner without building a string. */
const groupIdOf = ({ owner, predecessors, movingTo }: SlotState) => (
  predecessors.length === 0 && movingTo === undefined
    ? owner
    : ` ${owner} ${movingTo} ${predecessors.join(' ')}`
);

const encodeSlots = (
  slots: readonly SlotState[],
  encodeHolder: (state: SlotState) => HolderJson,
): SlotGroupJson[] => {
  const groups = new Map<string | undefined, SlotGroup>();
  for (const [slot, state] of slots.entries()) {
    const id = groupIdOf(state);
    let group = groups.get(id);
    if (group === undefined) {
      group = { state, byToken: new Map() };
      groups.set(id, group);
    }
    const sameToken = group.byToken.get(state.token);
    if (sameToken === undefined) group.byToken.set(state.token, [slot]);
    else sameToken.push(slot);
  }
  return [...groups.values()].map(({ state, byToken }) => {
    const tokens = [...byToken].map(([token, members]) => ({ token, slots: members }));
    return { ...encodeHolder(state), ranges: formatRanges(tokens) };
  });
};

/**
 * Writes a record as JSON text. Slots are grouped as ranges by owner and token.
 *
 * @param record The record.
 * @returns The text, to be read by `decodeRecord`.
 *
 * @example
 * await store.compareAndSwap('placement/ledger', revision, encodeRecord(record));
 */
export const encodeRecord = (record: PlacementRecord): string => {
  const witnesses = createTable<WitnessReference>(({ id, controlAddress, failureDomain }) => (
    JSON.stringify([id, controlAddress, failureDomain])
  ));
  const owners = record.owners.map((owner) => encodeOwner(owner, witnesses.indexOf));
  const encodeHolder = createHolderEncoder(record.owners);
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
    slots: encodeSlots(record.slots, encodeHolder),
    hotKeys: record.hotKeys.map(({ key, state }) => (
      { key, token: state.token, ...encodeHolder(state) }
    )),
  };
  return JSON.stringify(json);
};
