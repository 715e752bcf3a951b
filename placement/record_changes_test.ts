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
import { testOwner, testRecord } from './_test_owners.ts';

const SEED = 20_261;
const SLOT_COUNT = 16;

const number = fc.integer({ min: 0, max: 5 });
const slot = fc.integer({ min: 0, max: SLOT_COUNT - 1 });
const id = number.map((value) => `n${value}#a`);
const key = slot.map((value) => `key-${value}`);

type Change = (record: PlacementRecord) => PlacementRecord | undefined;

const named = (name: string, apply: Change) => ({ name, apply });

const change: fc.Arbitrary<ReturnType<typeof named>> = fc.oneof(
  number.map((value) => named('add', (record) => addOwner(record, testOwner(value)))),
  id.map((owner) => named('takeover', (record) => beginTakeover(record, owner))),
  fc.tuple(id, id).map(([owner, former]) => (
    named('clear', (record) => clearPredecessors(record, owner, [former])))),
  fc.array(fc.tuple(slot, id), { maxLength: 6 }).map((moves) => named('start', (record) => (
    startMoves(record, moves.map(([at, to]) => ({ kind: 'slot', slot: at, to })))))),
  fc.tuple(id, fc.array(slot), key).map(([owner, slots, hot]) => (
    named('complete', (record) => completeMoves(record, owner, slots, [hot])))),
  id.map((owner) => named('leave', (record) => startLeaving(record, owner))),
  id.map((owner) => named('remove', (record) => removeOwner(record, owner))),
  fc.tuple(slot, id).map(([at, to]) => (
    named('hot', (record) => setHotKey(record, `key-${at}`, at, to)))),
  slot.map((at) => named('cool', (record) => dropHotKey(record, `key-${at}`, at))),
);

/** The state that decides who serves a key of a slot; each slot of the test has one key. */
const stateOfKey = (record: PlacementRecord, at: number): SlotState => (
  record.hotKeys.find((hotKey) => hotKey.key === `key-${at}`)?.state ?? record.slots[at]!
);

const checkState = (name: string, before: SlotState, after: SlotState, record: PlacementRecord) => {
  assert.ok(after.token >= before.token, `${name}: the token fell`);
  if (after.owner !== before.owner) {
    assert.is(after.token, record.version, `${name}: a new owner without a new token`);
    const released = name === 'complete' && before.movingTo === after.owner;
    const listed = before.owner === undefined || after.predecessors.includes(before.owner);
    assert.ok(released || listed, `${name}: the former owner was neither released nor listed`);
  }
  if (name !== 'clear') {
    for (const former of before.predecessors) assert.ok(after.predecessors.includes(former), name);
  }
  const known = new Map(record.owners.map((owner) => [owner.id, owner.state]));
  for (const former of after.predecessors) assert.ok(known.has(former), `${name}: lost ${former}`);
  if (after.owner !== undefined) assert.ok(known.get(after.owner) !== 'removed', name);
  if (after.movingTo !== undefined) assert.is(known.get(after.movingTo), 'active', name);
};

test('guards against a key with two owners: no sequence of changes breaks an invariant', () => {
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
      assert.ok(!hasActive || !unowned, `${name}: unowned slots beside an active owner`);
      record = next;
    }
  }), { seed: SEED, numRuns: 500 });
});

test('guards against a takeover that moves other slots or overloads an owner', () => {
  const owners = [0, 1, 2, 3, 4, 5].map((value) => testOwner(value));
  const record = testRecord(120, owners);
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

test('guards against lost predecessors when no active owner is left, and when two are lost', () => {
  const alone = beginTakeover(testRecord(4, [testOwner(0)]), 'n0#a')!;
  assert.equal(alone.slots[0], {
    owner: undefined, token: 2, predecessors: ['n0#a'], movingTo: undefined,
  });
  const second = beginTakeover(addOwner(alone, testOwner(1))!, 'n1#a')!;
  const third = addOwner(second, testOwner(2))!;
  assert.equal(third.slots[0]!.predecessors, ['n0#a', 'n1#a']);
  assert.is(removeOwner(third, 'n0#a'), undefined);
});

test('guards against a lower token after a hot key has returned to its slot', () => {
  const owners = [testOwner(0), testOwner(1)];
  const start = testRecord(4, owners);
  const from = start.slots[2]!.owner!;
  const to = owners.find((owner) => owner.id !== from)!.id;
  const away = completeMoves(setHotKey(start, 'k', 2, to)!, from, [], ['k'])!;
  const back = completeMoves(dropHotKey(away, 'k', 2)!, to, [], ['k'])!;
  const dropped = dropHotKey(back, 'k', 2)!;
  assert.is(dropped.hotKeys.length, 0);
  assert.is(dropped.slots[2]!.owner, from);
  assert.ok(dropped.slots[2]!.token > back.hotKeys[0]!.state.token);
});

test('guards against a hot key that skips its predecessors or the drain of its slot', () => {
  const start = testRecord(4, [testOwner(0), testOwner(1)]);
  const from = start.slots[2]!.owner!;
  const to = from === 'n0#a' ? 'n1#a' : 'n0#a';
  const away = completeMoves(setHotKey(start, 'k', 2, to)!, from, [], ['k'])!;
  const pending = beginTakeover(away, to)!;
  assert.equal(pending.hotKeys[0]!.state.predecessors, [to]);
  assert.is(dropHotKey(pending, 'k', 2), undefined);
  const back = completeMoves(dropHotKey(away, 'k', 2)!, to, [], ['k'])!;
  const draining = startMoves(back, [{ kind: 'slot', slot: 2, to }])!;
  assert.is(dropHotKey(draining, 'k', 2), undefined);
});

test('guards against witnesses that one failure takes away together', () => {
  const members = [0, 1, 2, 3, 4, 5, 6, 7, 8].map((value) => testOwner(value));
  const owner = members[0]!;
  const chosen = chooseWitnesses(members, owner);
  assert.is(new Set(chosen.map((witness) => witness.failureDomain)).size, 3);
  assert.not.ok(chosen.some((witness) => witness.id === owner.id));
  const left = members.filter((member) => member.id !== chosen[1]!.id);
  const keep = [chosen[0]!.id, chosen[2]!.id];
  const kept = chooseWitnesses(left, owner, { keep }).map((witness) => witness.id);
  assert.ok(keep.every((witness) => kept.includes(witness)));
});

test('guards against a region of two domains where one holds most witnesses of an owner', () => {
  const places = ['a1', 'a2', 'a1', 'a2', 'b1', 'b2', 'b3'];
  const members = places.map((failureDomain, index) => testOwner(index, {
    failureDomain, region: failureDomain.slice(0, 1),
  }));
  for (const owner of members.slice(0, 4)) {
    const domains = chooseWitnesses(members, owner).map((witness) => witness.failureDomain);
    assert.is(new Set(domains).size, 3, domains.join(' '));
    assert.is(domains.filter((domain) => domain.startsWith('a')).length, 2, domains.join(' '));
  }
});

test('guards against a second witness change before the first is acknowledged', () => {
  const members = [1, 2, 3, 4, 5, 6].map((value) => testOwner(value));
  const [first, second] = [members.slice(0, 3), members.slice(3)]
    .map((candidates) => chooseWitnesses(candidates, testOwner(0)));
  const record = testRecord(4, [testOwner(0, { witnesses: first! })]);
  const changing = replaceWitnesses(record, 'n0#a', second!)!;
  assert.equal(changing.owners[0]!.previousWitnesses, first);
  assert.is(replaceWitnesses(changing, 'n0#a', first!), undefined);
  assert.equal(acknowledgeWitnesses(changing, 'n0#a')!.owners[0]!.previousWitnesses, []);
});

test.run();
