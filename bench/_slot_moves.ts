import {
  addOwner, beginTakeover, completeMoves, createRecord, type Owner, type PlacementRecord,
  planRebalance, startLeaving, startMoves,
} from '../placement/mod.ts';
import { createNodeDescriptors } from './_synthetic_record.ts';

/** Numbers of slots that a change of the fleet moves. */
export interface SlotMoves {
  readonly product: number;
  /** Slots moved when the owner is the slot modulo the number of owners. */
  readonly naive: number;
  /** Fewest slots that the change has to move. */
  readonly minimum: number;
}

const SERVICE = 'ledger';
const MAX_PASSES = 500;

const createOwners = (count: number): readonly Owner[] => (
  createNodeDescriptors(count).map((descriptor) => ({
    ...descriptor,
    id: `${descriptor.node}#${descriptor.incarnation}`,
    instance: descriptor.node,
    peerAddress: descriptor.controlAddress,
    weight: 6,
    witnesses: [],
    previousWitnesses: [],
    state: 'active',
  }))
);

/** Plans and completes moves until no further rebalancing is planned. */
const rebalance = (start: PlacementRecord): PlacementRecord => {
  let record = start;
  const allSlots = record.slots.map((_, slot) => slot);
  for (let pass = 0; pass < MAX_PASSES; pass += 1) {
    const moving = startMoves(record, planRebalance(record));
    if (moving === undefined) return record;
    record = moving;
    const sources = new Set(record.slots
      .filter(({ movingTo }) => movingTo !== undefined)
      .map(({ owner }) => owner!));
    for (const source of sources) record = completeMoves(record, source, allSlots, []) ?? record;
  }
  return record;
};

/** Counts slots whose owner differs; a slot that moved in several passes counts once. */
const countMovedSlots = (before: PlacementRecord, after: PlacementRecord) => (
  after.slots.filter(({ owner }, slot) => owner !== before.slots[slot]?.owner).length
);

const createBalancedRecord = (slotCount: number, owners: readonly Owner[]) => rebalance(
  owners.reduce<PlacementRecord>(
    (record, owner) => addOwner(record, owner) ?? record,
    createRecord(SERVICE, slotCount),
  ),
);

/** With modulo hashing, every slot whose remainder changes moves. */
const countMovedByModulo = (slotCount: number, before: number, after: number) => {
  let moved = 0;
  for (let slot = 0; slot < slotCount; slot += 1) if (slot % before !== slot % after) moved += 1;
  return moved;
};

const withoutPredecessors = (record: PlacementRecord): PlacementRecord => ({
  ...record, slots: record.slots.map((state) => ({ ...state, predecessors: [] })),
});

/** Measures the slots moved by the join, the loss and the drain of one owner. */
export const measureSlotMoves = (
  nodes: number,
  slotCount: number,
): Readonly<Record<'join' | 'leave' | 'drain', SlotMoves>> => {
  const owners = createOwners(nodes + 1);
  const before = createBalancedRecord(slotCount, owners.slice(0, nodes));
  const last = owners[nodes - 1]!;
  const owned = before.slots.filter(({ owner }) => owner === last.id).length;
  const afterJoin = rebalance(addOwner(before, owners[nodes]!)!);
  const afterLoss = rebalance(withoutPredecessors(beginTakeover(before, last.id)!));
  const afterDrain = rebalance(startLeaving(before, last.id)!);
  const compareMoves = (
    after: PlacementRecord,
    ownerCount: number,
    minimum: number,
  ): SlotMoves => ({
    product: countMovedSlots(before, after),
    naive: countMovedByModulo(slotCount, nodes, ownerCount),
    minimum,
  });
  return {
    join: compareMoves(afterJoin, nodes + 1, Math.floor(slotCount / (nodes + 1))),
    leave: compareMoves(afterLoss, nodes - 1, owned),
    drain: compareMoves(afterDrain, nodes - 1, owned),
  };
};
