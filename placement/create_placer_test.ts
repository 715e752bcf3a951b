import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { ServiceDefinition } from '../contract/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import { type Logger, silentLogger } from '../telemetry/mod.ts';
import {
  acknowledgeWitnesses,
  beginTakeover,
  clearPredecessors,
  combineChanges,
  completeMoves,
  createPlacements,
  createPlacer,
  createSlotOfKey,
  type PlacementRecord,
} from './mod.ts';
import { findActor } from './_decide_changes.ts';
import { createTestRelay } from './_test_relay.ts';

const SERVICE: ServiceDefinition = {
  name: 's', keyed: true, slotCount: 64, checksGrants: false, refusalStatuses: [],
};
const PASSES_MS = 15_000;

const member = (number: number, incarnation = 'a'): MemberUpdate => ({
  node: `n${number}`,
  incarnation,
  counter: 0,
  state: MemberState.MEMBER_STATE_ALIVE,
  region: 'r1',
  failureDomain: `d${number % 3}`,
  controlAddress: `127.0.0.1:${10_000 + number}`,
  peerAddress: `127.0.0.1:${20_000 + number}`,
  instances: [],
});

/** What the lease part does on the owner's side, without waiting for leases. */
const followAsOwner = (record: PlacementRecord, id: string) => {
  const former = record.owners.filter((owner) => owner.state === 'removed')
    .map((owner) => owner.id);
  return combineChanges(record, [
    (current) => completeMoves(current, id, [...record.slots.keys()], []),
    (current) => clearPredecessors(current, id, former),
    (current) => acknowledgeWitnesses(current, id),
  ]);
};

const setUp = async () => {
  const clock = createFakeClock();
  const store = createMemoryStore(clock);
  const relay = createTestRelay();
  const slotOfKey = await createSlotOfKey();
  const members = new Map<string, MemberUpdate>();
  const decisions: string[] = [];
  const actors: string[] = [];

  const start = (number: number) => {
    const self = member(number);
    const id = `${self.node}#${self.incarnation}`;
    members.set(self.node, self);
    const logger: Logger = {
      ...silentLogger,
      info: (_fields, sentence) => {
        decisions.push(sentence);
        if (sentence === 'started planned moves') actors.push(id);
      },
    };
    // With these seeds, the node that is to act is not the first whose pass comes.
    const random = xoroshiro128plus(100 - number);
    let writes = 0;
    const createWriterId = () => {
      writes += 1;
      return `${id}-${writes}`;
    };
    const placements = createPlacements({
      store, relay, clock, logger, random, createWriterId,
    });
    const membership = { self: () => self, members: () => [...members.values()] };
    const placer = createPlacer({
      placements, membership, clock, logger, random, slotOfKey,
    });
    const stopFollowing = placements.onChange(() => {
      placements.update('s', (record) => record && followAsOwner(record, id));
    });
    const kill = () => {
      members.delete(self.node);
      stopFollowing();
      placer.stop();
    };
    return {
      id, placements, placer, kill,
    };
  };

  const startAll = async (count: number) => {
    const nodes = Array.from({ length: count }, (_, number) => start(number));
    const joins = nodes.map(({ placer }) => placer.join(SERVICE, { instance: 'i', weight: 1 }));
    await clock.advance(PASSES_MS);
    for (const join of joins) assert.ok((await join).isOk());
    return nodes;
  };

  return {
    clock, store, start, startAll, members, decisions, actors,
  };
};

const countOwned = (record: PlacementRecord, id: string) => (
  record.slots.filter((state) => state.owner === id).length);

test('guards against an unbalanced start, and against several nodes that act at once', async () => {
  const { startAll, actors, members } = await setUp();
  const nodes = await startAll(4);
  const record = nodes[0]!.placements.current('s')!;
  for (const { id } of nodes) assert.ok(Math.abs(countOwned(record, id) - 16) <= 1);
  for (const owner of record.owners) assert.is(owner.witnesses.length, 3);
  const actor = findActor(record, [...members.values()]);
  assert.ok(actors.length > 0 && actors.every((id) => id === actor), actors.join(' '));
});

test('guards against a drain that ends too early or leaves the owner behind', async () => {
  const { clock, startAll, decisions } = await setUp();
  const nodes = await startAll(4);
  const drain = nodes[2]!.placer.drain();
  await clock.advance(PASSES_MS);
  assert.ok((await drain).isOk());
  const record = nodes[0]!.placements.current('s')!;
  assert.equal(record.owners.map(({ id }) => id).sort(), ['n0#a', 'n1#a', 'n3#a']);
  assert.ok(record.slots.every(({ owner }) => owner !== undefined && owner !== 'n2#a'));
  assert.is(decisions.filter((sentence) => sentence.startsWith('began to leave')).length, 1);
});

test('guards against a drain without any destination that never ends', async () => {
  const { clock, startAll } = await setUp();
  const [alone] = await startAll(1);
  const abort = new AbortController();
  const drain = alone!.placer.drain({ signal: abort.signal });
  await clock.advance(PASSES_MS);
  abort.abort();
  await clock.advance(1000);
  assert.ok((await drain).isErr());
  assert.is(countOwned(alone!.placements.current('s')!, 'n0#a'), 64);
});

test('guards against witnesses that are gone or restarted and stay named', async () => {
  const { clock, startAll, members } = await setUp();
  const nodes = await startAll(5);
  nodes[4]!.kill();
  members.set('n3', member(3, 'b'));
  await clock.advance(PASSES_MS);
  const record = nodes[0]!.placements.current('s')!;
  const alive = record.owners.filter(({ node }) => ['n0', 'n1', 'n2'].includes(node));
  for (const owner of alive) {
    assert.equal(owner.previousWitnesses, []);
    const ids = owner.witnesses.map(({ id }) => id);
    assert.is(ids.length, 3);
    assert.not.ok(ids.includes('n4#a') || ids.includes('n3#a'), ids.join(' '));
  }
});

test('guards against a suspected witness that stays named until it counts as dead', async () => {
  const { clock, startAll, members } = await setUp();
  const nodes = await startAll(5);
  members.set('n4', { ...member(4), state: MemberState.MEMBER_STATE_SUSPECT });
  await clock.advance(PASSES_MS);
  const record = nodes[0]!.placements.current('s')!;
  for (const owner of record.owners) {
    assert.not.ok(owner.witnesses.some(({ id }) => id === 'n4#a'), owner.id);
  }
});

test('guards against a takeover from a live owner and one that cannot be cleared', async () => {
  const { clock, startAll } = await setUp();
  const nodes = await startAll(4);
  assert.ok((await nodes[0]!.placer.confirmLost('s', 'n1#a')).isErr());
  nodes[1]!.kill();
  const confirmed = nodes[0]!.placer.confirmLost('s', 'n1#a');
  await clock.advance(1000);
  const record = (await confirmed).unwrapOr(undefined)!;
  assert.is(countOwned(record, 'n1#a'), 0);
  assert.ok(record.slots.every(({ predecessors }) => predecessors.length === 0));
  await clock.advance(PASSES_MS);
  const later = nodes[0]!.placements.current('s')!;
  assert.not.ok(later.owners.some(({ id }) => id === 'n1#a'), 'the owner is not forgotten');
});

test('guards against a join that is given up during a store outage', async () => {
  const { clock, store, start } = await setUp();
  const node = start(0);
  store.setDown(true);
  const join = node.placer.join(SERVICE, { instance: 'i', weight: 1 });
  await clock.advance(PASSES_MS);
  assert.ok((await join).isErr());
  store.setDown(false);
  await clock.advance(PASSES_MS);
  assert.is(countOwned(node.placements.current('s')!, 'n0#a'), 64);
});

test('guards against a removed owner that keeps its identifier or never joins again', async () => {
  const { clock, startAll } = await setUp();
  const nodes = await startAll(4);
  const [first] = nodes;
  first!.placements.update('s', (record) => record && beginTakeover(record, first!.id));
  await clock.advance(1000);
  const joined = first!.placer.join(SERVICE, { instance: 'i', weight: 1 });
  await clock.advance(PASSES_MS);
  assert.ok((await joined).isOk());
  const secondId = `${first!.id}.1`;
  assert.is(first!.placer.ownerIdOf('s'), secondId);
  const record = nodes[1]!.placements.current('s')!;
  assert.is(record.owners.find(({ id }) => id === secondId)?.state, 'active');
  assert.not.ok(record.owners.some(({ id, state }) => id === first!.id && state !== 'removed'));
});

test.run();
