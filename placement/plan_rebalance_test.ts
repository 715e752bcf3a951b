import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  addOwner,
  beginTakeover,
  completeMoves,
  createRecord,
  type OwnerId,
  type PlacementRecord,
  planRebalance,
  type PlannedMove,
  startLeaving,
  startMoves,
} from './mod.ts';
import { createTestOwner, createTestRecord } from './_test_owners.ts';

const SEED = 20_263;
const ALL = { maxMoves: Number.MAX_SAFE_INTEGER, hysteresis: 0 };

const slotsOf = (record: PlacementRecord, id: OwnerId) => (
  record.slots.filter((state) => (state.movingTo ?? state.owner) === id).length
);

const withMoves = (record: PlacementRecord, moves: readonly PlannedMove[]) => (
  startMoves(record, moves) ?? record
);

const settle = (record: PlacementRecord) => record.owners.reduce((current, { id }) => (
  completeMoves(current, id, record.slots.map((_, slot) => slot), []) ?? current
), record);

/** Finds the minimum number of moves by trying every rounding of the quotas. */
const bruteForceLeastMoves = (record: PlacementRecord): number => {
  const active = record.owners.filter((owner) => owner.state === 'active');
  const weight = active.reduce((sum, owner) => sum + owner.weight, 0);
  const leaving = record.slots.length
    - active.reduce((sum, owner) => sum + slotsOf(record, owner.id), 0);
  let least = Number.POSITIVE_INFINITY;
  for (let choice = 0; choice < 2 ** active.length; choice += 1) {
    let [total, surplus] = [0, leaving];
    for (const [index, owner] of active.entries()) {
      const quota = (record.slotCount * owner.weight) / weight;
      const roundsUp = Math.floor(choice / 2 ** index) % 2 === 1;
      const target = roundsUp ? Math.ceil(quota) : Math.floor(quota);
      total += target;
      surplus += Math.max(0, slotsOf(record, owner.id) - target);
    }
    if (total === record.slotCount) least = Math.min(least, surplus);
  }
  return least;
};

const arbitraryRecord = fc.record({
  slotCount: fc.constantFrom(8, 64, 256),
  weights: fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 6 }),
  leaving: fc.array(fc.integer({ min: 1, max: 5 }), { maxLength: 2 }),
  ownerChoices: fc.array(fc.nat(), { minLength: 256, maxLength: 256, size: 'max' }),
}).map(({
  slotCount, weights, leaving, ownerChoices,
}) => {
  const owners = weights.map((weight, value) => createTestOwner(value, {
    weight, state: leaving.includes(value) ? 'leaving' : 'active',
  }));
  const slots = ownerChoices.slice(0, slotCount).map((choice) => ({
    owner: owners[choice % owners.length]!.id, token: 1, predecessors: [], movingTo: undefined,
  }));
  return {
    ...createRecord('s', slotCount), version: 1, owners, slots,
  };
});

test('plans as few moves as an exhaustive search and reaches a balanced record', () => {
  fc.assert(fc.property(arbitraryRecord, (record) => {
    const moves = planRebalance(record, ALL);
    const after = withMoves(record, moves);
    assert.is(moves.length, bruteForceLeastMoves(record));
    assert.is(
      new Set(moves.map((move) => (move.kind === 'slot' ? move.slot : -1))).size,
      moves.length,
    );
    assert.is(bruteForceLeastMoves(settle(after)), 0);
    assert.equal(planRebalance(settle(after), ALL), []);
  }), { seed: SEED, numRuns: 300 });
});

test('stays within the budget and empties leaving owners first', () => {
  fc.assert(fc.property(arbitraryRecord, fc.integer({ min: 0, max: 20 }), (record, maxMoves) => {
    const moves = planRebalance(record, { maxMoves, hysteresis: 0 });
    assert.ok(moves.length <= maxMoves);
    const after = withMoves(record, moves);
    assert.equal(planRebalance(after, { maxMoves: moves.length, hysteresis: 0 }), []);
    const isLeaving = (id: OwnerId | undefined) => (
      record.owners.some((owner) => owner.id === id && owner.state === 'leaving'));
    const sources = moves.map((move) => (
      isLeaving(move.kind === 'slot' ? record.slots[move.slot]!.owner : undefined)));
    const waiting = after.slots.some((state) => isLeaving(state.owner) && !state.movingTo);
    assert.ok(!waiting || sources.every((source) => source));
  }), { seed: SEED, numRuns: 300 });
});

test('moves at most 1.2 times the minimum on join, leave and drain', () => {
  for (const count of [3, 6, 20, 100]) {
    const slotCount = 4096;
    const start = createTestRecord(
      slotCount,
      Array.from({ length: count }, (_, n) => createTestOwner(n)),
    );
    const joined = addOwner(start, createTestOwner(count))!;
    const joinMoves = planRebalance(joined, { maxMoves: slotCount }).length;
    assert.ok(joinMoves <= 1.2 * Math.ceil(slotCount / (count + 1)), `join ${joinMoves}`);
    assert.ok(joinMoves >= 0.8 * Math.floor(slotCount / (count + 1)), `join ${joinMoves}`);

    const lost = beginTakeover(start, 'n1#a')!;
    const owned = slotsOf(start, 'n1#a');
    const changed = lost.slots.filter((state, slot) => state.owner !== start.slots[slot]!.owner);
    assert.is(changed.length, owned);
    const cleared = { ...lost, slots: lost.slots.map((s) => ({ ...s, predecessors: [] })) };
    const leaveMoves = owned + planRebalance(cleared, { maxMoves: slotCount }).length;
    assert.ok(leaveMoves <= 1.2 * owned, `leave ${leaveMoves} of ${owned}`);

    const draining = startLeaving(start, 'n1#a')!;
    const drainMoves = planRebalance(draining, { maxMoves: slotCount });
    assert.ok(drainMoves.length <= 1.2 * owned, `drain ${drainMoves.length} of ${owned}`);
    assert.is(slotsOf(withMoves(draining, drainMoves), 'n1#a'), 0);
  }
});

test('plans no moves for differences within the hysteresis', () => {
  const record = createTestRecord(300, [0, 1, 2].map((value) => createTestOwner(value)));
  const from = record.slots.findIndex((state) => state.owner === 'n0#a');
  const uneven = settle(withMoves(record, [{ kind: 'slot', slot: from, to: 'n1#a' }]));
  assert.equal(planRebalance(uneven), []);
  assert.is(planRebalance(uneven, { hysteresis: 0 }).length, 1);
});

test.run();
