import {
  addOwner, beginTakeover, completeMoves, createRecord, type Owner, type PlacementRecord,
  planRebalance, startLeaving, startMoves,
} from '../placement/mod.ts';
import { createPlaces } from './_synthetic_record.ts';

/** Slots that a change of the fleet moved, and the fewest that it had to move. */
export interface MovedShare {
  readonly product: number;
  readonly naive: number;
  readonly least: number;
}

const SERVICE = 'ledger';
const MAX_PASSES = 500;

const ownersOf = (count: number): readonly Owner[] => createPlaces(count).map((place) => ({
  ...place,
  id: `${place.node}#${place.incarnation}`,
  instance: place.node,
  peerAddress: place.controlAddress,
  weight: 6,
  witnesses: [],
  previousWitnesses: [],
  state: 'active',
}));

/** Plans and completes moves until the placer has nothing more to move. */
const settle = (start: PlacementRecord): PlacementRecord => {
  let record = start;
  const all = record.slots.map((_, slot) => slot);
  for (let pass = 0; pass < MAX_PASSES; pass += 1) {
    const moving = startMoves(record, planRebalance(record));
    if (moving === undefined) return record;
    record = moving;
    const sources = new Set(record.slots
      .filter(({ movingTo }) => movingTo !== undefined)
      .map(({ owner }) => owner!));
    for (const source of sources) record = completeMoves(record, source, all, []) ?? record;
  }
  return record;
};

/** Each pass that moved a slot counts, so a slot that moves twice counts twice. */
const movedSlots = (before: PlacementRecord, after: PlacementRecord) => (
  after.slots.filter(({ owner }, slot) => owner !== before.slots[slot]?.owner).length
);

const build = (slotCount: number, owners: readonly Owner[]) => settle(
  owners.reduce<PlacementRecord>(
    (record, owner) => addOwner(record, owner) ?? record,
    createRecord(SERVICE, slotCount),
  ),
);

/** A hash modulo the number of owners moves every slot whose remainder changes. */
const movedByModulo = (slotCount: number, before: number, after: number) => {
  let moved = 0;
  for (let slot = 0; slot < slotCount; slot += 1) if (slot % before !== slot % after) moved += 1;
  return moved;
};

const withoutPredecessors = (record: PlacementRecord): PlacementRecord => ({
  ...record, slots: record.slots.map((state) => ({ ...state, predecessors: [] })),
});

/** Moves on join, loss and drain of one owner. */
export const measureMoves = (
  nodes: number,
  slotCount: number,
): Readonly<Record<'join' | 'leave' | 'drain', MovedShare>> => {
  const owners = ownersOf(nodes + 1);
  const before = build(slotCount, owners.slice(0, nodes));
  const last = owners[nodes - 1]!;
  const owned = before.slots.filter(({ owner }) => owner === last.id).length;
  const joined = settle(addOwner(before, owners[nodes]!)!);
  const left = settle(withoutPredecessors(beginTakeover(before, last.id)!));
  const drained = settle(startLeaving(before, last.id)!);
  const share = (after: PlacementRecord, count: number, least: number): MovedShare => ({
    product: movedSlots(before, after), naive: movedByModulo(slotCount, nodes, count), least,
  });
  return {
    join: share(joined, nodes + 1, Math.floor(slotCount / (nodes + 1))),
    leave: share(left, nodes - 1, owned),
    drain: share(drained, nodes - 1, owned),
  };
};
