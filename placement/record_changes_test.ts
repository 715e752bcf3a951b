import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  acknowledgeWitnesses,
  addOwner,
  beginTakeover,
  chooseWitnesses,
  clearPredecessors,
  completeMoves,
  createRecord,
  dropHotKey,
  type PlacementRecord,
  removeOwner,
  replaceWitnesses,
  setHotKey,
  type SlotState,
  startLeaving,
  startMoves,
} from './mod.ts';
import { createTestOwner, createTestRecord } from './_test_owners.ts';

const SEED = 20_261;
const SLOT_COUNT = 16;

const number = fc.integer({ min: 0, max: 5 });
const slot = fc.integer({ min: 0, max: SLOT_COUNT - 1 });
const id = number.map((value) => `n${value}#a`);
const key = slot.map((value) => `key-${value}`);

type Change = (record: PlacementRecord) => PlacementRecord | undefined;

const namedChange = (name: string, apply: Change) => ({ name, apply });

const change: fc.Arbitrary<ReturnType<typeof namedChange>> = fc.oneof(
  number.map((value) => namedChange('add', (record) => addOwner(record, createTestOwner(value)))),
  id.map((owner) => namedChange('takeover', (record) => beginTakeover(record, owner))),
  fc.tuple(id, id).map(([owner, former]) => (
    namedChange('clear', (record) => clearPredecessors(record, owner, [former])))),
  fc.array(fc.tuple(slot, id), { maxLength: 6 }).map((moves) => namedChange('start', (record) => (
    startMoves(record, moves.map(([at, to]) => ({ kind: 'slot', slot: at, to })))))),
  fc.tuple(id, fc.array(slot), key).map(([owner, slots, hot]) => (
    namedChange('complete', (record) => completeMoves(record, owner, slots, [hot])))),
  id.map((owner) => namedChange('leave', (record) => startLeaving(record, owner))),
  id.map((owner) => namedChange('remove', (record) => removeOwner(record, owner))),
  fc.tuple(slot, id).map(([at, to]) => (
    namedChange('set', (record) => setHotKey(record, `key-${at}`, at, to)))),
  slot.map((at) => namedChange('drop', (record) => dropHotKey(record, `key-${at}`, at))),
);

/** Returns the state that determines the owner of a slot's key; each slot has one key here. */
const stateOfKey = (record: PlacementRecord, at: number): SlotState => (
  record.hotKeys.find((hotKey) => hotKey.key === `key-${at}`)?.state ?? record.slots[at]!
);

const checkState = (name: string, before: SlotState, after: SlotState, record: PlacementRecord) => {
  assert.ok(after.token >= before.token, `${name}: the token decreased`);
  if (after.owner !== before.owner) {
    assert.is(after.token, record.version, `${name}: the owner changed without a new token`);
    const released = name === 'complete' && before.movingTo === after.owner;
    const isPredecessor = before.owner === undefined || after.predecessors.includes(before.owner);
    assert.ok(
      released || isPredecessor,
      `${name}: the former owner neither released the key nor is a predecessor`,
    );
  }
  if (name !== 'clear') {
    for (const former of before.predecessors) assert.ok(after.predecessors.includes(former), name);
  }
  const states = new Map(record.owners.map((owner) => [owner.id, owner.state]));
  for (const former of after.predecessors) assert.ok(states.has(former), `${name}: lost ${former}`);
  if (after.owner !== undefined) assert.ok(states.get(after.owner) !== 'removed', name);
  if (after.movingTo !== undefined) assert.is(states.get(after.movingTo), 'active', name);
};

test('no sequence of changes gives a key two owners or breaks another invariant', () => {
  fc.assert(fc.property(fc.array(change, { maxLength: 60, size: 'max' }), (changes) => {
    let record = createRecord('s', SLOT_COUNT);
    for (const { name, apply } of changes) {
      const next = apply(record);
      if (next === undefined) continue;
      assert.is(next.version, record.version + 1);
      for (let at = 0; at < SLOT_COUNT; at += 1) {
        checkState(name, record.slots[at]!, next.slots[at]!, next);
        checkState(name, stateOfKey(record, at), stateOfKey(next, at), next);
      }
      const hasActive = next.owners.some((owner) => owner.state === 'active');
      const unowned = next.slots.some((state) => state.owner === undefined);
      assert.ok(!hasActive || !unowned, `${name}: unowned slots despite an active owner`);
      record = next;
    }
  }), { seed: SEED, numRuns: 500 });
});

test('takeover moves only the slots of the lost owner and respects the load bound', () => {
  const owners = [0, 1, 2, 3, 4, 5].map((value) => createTestOwner(value));
  const record = createTestRecord(120, owners);
  const after = beginTakeover(record, 'n1#a')!;
  for (const [at, state] of record.slots.entries()) {
    if (state.owner !== 'n1#a') assert.is(after.slots[at], state);
  }
  for (const owner of owners.filter(({ id: other }) => other !== 'n1#a')) {
    const count = after.slots.filter((state) => state.owner === owner.id).length;
    assert.ok(count <= Math.ceil((120 / 5) * 1.1), `${owner.id} has ${count}`);
  }
  const avoiding = beginTakeover(record, 'n1#a', { avoid: ['n4#a'] })!;
  assert.is(avoiding.slots.filter((state) => state.owner === 'n4#a').length, 20);
});

test('takeover keeps predecessors without an active owner and after a second loss', () => {
  const afterFirstLoss = beginTakeover(createTestRecord(4, [createTestOwner(0)]), 'n0#a')!;
  assert.equal(afterFirstLoss.slots[0], {
    owner: undefined, token: 2, predecessors: ['n0#a'], movingTo: undefined,
  });
  const second = beginTakeover(addOwner(afterFirstLoss, createTestOwner(1))!, 'n1#a')!;
  const third = addOwner(second, createTestOwner(2))!;
  assert.equal(third.slots[0]!.predecessors, ['n0#a', 'n1#a']);
  assert.is(removeOwner(third, 'n0#a'), undefined);
});

test('the token does not fall when a hot key returns to its slot', () => {
  const owners = [createTestOwner(0), createTestOwner(1)];
  const start = createTestRecord(4, owners);
  const from = start.slots[2]!.owner!;
  const to = owners.find((owner) => owner.id !== from)!.id;
  const moved = completeMoves(setHotKey(start, 'k', 2, to)!, from, [], ['k'])!;
  const returned = completeMoves(dropHotKey(moved, 'k', 2)!, to, [], ['k'])!;
  const dropped = dropHotKey(returned, 'k', 2)!;
  assert.is(dropped.hotKeys.length, 0);
  assert.is(dropped.slots[2]!.owner, from);
  assert.ok(dropped.slots[2]!.token > returned.hotKeys[0]!.state.token);
});

test('a dropped hot key does not skip its predecessors or the drain of its slot', () => {
  const start = createTestRecord(4, [createTestOwner(0), createTestOwner(1)]);
  const from = start.slots[2]!.owner!;
  const to = from === 'n0#a' ? 'n1#a' : 'n0#a';
  const moved = completeMoves(setHotKey(start, 'k', 2, to)!, from, [], ['k'])!;
  const pending = beginTakeover(moved, to)!;
  assert.equal(pending.hotKeys[0]!.state.predecessors, [to]);
  assert.is(dropHotKey(pending, 'k', 2), undefined);
  const returned = completeMoves(dropHotKey(moved, 'k', 2)!, to, [], ['k'])!;
  const draining = startMoves(returned, [{ kind: 'slot', slot: 2, to }])!;
  assert.is(dropHotKey(draining, 'k', 2), undefined);
});

test('one failure cannot take away several witnesses, and current ones are kept', () => {
  const members = [0, 1, 2, 3, 4, 5, 6, 7, 8].map((value) => createTestOwner(value));
  const owner = members[0]!;
  const chosen = chooseWitnesses(members, owner);
  assert.is(new Set(chosen.map((witness) => witness.failureDomain)).size, 3);
  assert.not.ok(chosen.some((witness) => witness.id === owner.id));
  const left = members.filter((member) => member.id !== chosen[1]!.id);
  const keep = [chosen[0]!.id, chosen[2]!.id];
  const kept = chooseWitnesses(left, owner, { keep }).map((witness) => witness.id);
  assert.ok(keep.every((witness) => kept.includes(witness)));
});

test('no failure domain holds most witnesses of an owner in a region with two domains', () => {
  const failureDomains = ['a1', 'a2', 'a1', 'a2', 'b1', 'b2', 'b3'];
  const members = failureDomains.map((failureDomain, index) => createTestOwner(index, {
    failureDomain, region: failureDomain.slice(0, 1),
  }));
  for (const owner of members.slice(0, 4)) {
    const domains = chooseWitnesses(members, owner).map((witness) => witness.failureDomain);
    assert.is(new Set(domains).size, 3, domains.join(' '));
    assert.is(domains.filter((domain) => domain.startsWith('a')).length, 2, domains.join(' '));
  }
});

test('starts no second witness change before the first is acknowledged', () => {
  const members = [1, 2, 3, 4, 5, 6].map((value) => createTestOwner(value));
  const [first, second] = [members.slice(0, 3), members.slice(3)]
    .map((candidates) => chooseWitnesses(candidates, createTestOwner(0)));
  const record = createTestRecord(4, [createTestOwner(0, { witnesses: first! })]);
  const changing = replaceWitnesses(record, 'n0#a', second!)!;
  assert.equal(changing.owners[0]!.previousWitnesses, first);
  assert.is(replaceWitnesses(changing, 'n0#a', first!), undefined);
  assert.equal(acknowledgeWitnesses(changing, 'n0#a')!.owners[0]!.previousWitnesses, []);
});

test.run();
