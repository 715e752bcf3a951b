import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { ServiceDefinition } from '../contract/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import { type Logger, noopLogger } from '../telemetry/mod.ts';
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
import { findCoordinator } from './_decide_changes.ts';
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

/** Applies the changes that the lease module makes for an owner, without waiting for leases. */
const applyOwnerChanges = (record: PlacementRecord, id: string) => {
  const removed = record.owners.filter((owner) => owner.state === 'removed')
    .map((owner) => owner.id);
  return combineChanges(record, [
    (current) => completeMoves(current, id, [...record.slots.keys()], []),
    (current) => clearPredecessors(current, id, removed),
    (current) => acknowledgeWitnesses(current, id),
  ]);
};

const setUp = async () => {
  const clock = createFakeClock();
  const store = createMemoryStore(clock);
  const relay = createTestRelay();
  const slotOfKey = await createSlotOfKey();
  const members = new Map<string, MemberUpdate>();
  const logMessages: string[] = [];
  const movePlanners: string[] = [];

  const start = (number: number) => {
    const self = member(number);
    const id = `${self.node}#${self.incarnation}`;
    members.set(self.node, self);
    const logger: Logger = {
      ...noopLogger,
      info: (_fields, message) => {
        logMessages.push(message);
        if (message === 'started planned moves') movePlanners.push(id);
      },
    };
    // With these seeds, the first pass does not run on the coordinator.
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
    const removeListener = placements.onChange(() => {
      placements.update('s', (record) => record && applyOwnerChanges(record, id));
    });
    const kill = () => {
      members.delete(self.node);
      removeListener();
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
    clock, store, start, startAll, members, logMessages, movePlanners,
  };
};

const countOwned = (record: PlacementRecord, id: string) => (
  record.slots.filter((state) => state.owner === id).length);

test('balances the first owners; only the coordinator plans moves, not several nodes', async () => {
  const { startAll, movePlanners, members } = await setUp();
  const nodes = await startAll(4);
  const record = nodes[0]!.placements.current('s')!;
  for (const { id } of nodes) assert.ok(Math.abs(countOwned(record, id) - 16) <= 1);
  for (const owner of record.owners) assert.is(owner.witnesses.length, 3);
  const coordinator = findCoordinator(record, [...members.values()]);
  assert.ok(
    movePlanners.length > 0 && movePlanners.every((id) => id === coordinator),
    movePlanners.join(' '),
  );
});

test('drain moves all slots away and removes the owner before it resolves', async () => {
  const { clock, startAll, logMessages } = await setUp();
  const nodes = await startAll(4);
  const drain = nodes[2]!.placer.drain();
  await clock.advance(PASSES_MS);
  assert.ok((await drain).isOk());
  const record = nodes[0]!.placements.current('s')!;
  assert.equal(record.owners.map(({ id }) => id).sort(), ['n0#a', 'n1#a', 'n3#a']);
  assert.ok(record.slots.every(({ owner }) => owner !== undefined && owner !== 'n2#a'));
  assert.is(
    logMessages.filter((message) => message.startsWith('owner started to leave')).length,
    1,
  );
});

test('a drain without a destination fails on abort instead of never ending', async () => {
  const { clock, startAll } = await setUp();
  const [onlyNode] = await startAll(1);
  const abort = new AbortController();
  const drain = onlyNode!.placer.drain({ signal: abort.signal });
  await clock.advance(PASSES_MS);
  abort.abort();
  await clock.advance(1000);
  assert.ok((await drain).isErr());
  assert.is(countOwned(onlyNode!.placements.current('s')!, 'n0#a'), 64);
});

test('replaces witnesses that left the fleet or restarted', async () => {
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

test('replaces a suspected witness before it is declared dead', async () => {
  const { clock, startAll, members } = await setUp();
  const nodes = await startAll(5);
  members.set('n4', { ...member(4), state: MemberState.MEMBER_STATE_SUSPECT });
  await clock.advance(PASSES_MS);
  const record = nodes[0]!.placements.current('s')!;
  for (const owner of record.owners) {
    assert.not.ok(owner.witnesses.some(({ id }) => id === 'n4#a'), owner.id);
  }
});

test('confirmLost rejects a live owner, and a lost one does not remain a predecessor', async () => {
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
  assert.not.ok(later.owners.some(({ id }) => id === 'n1#a'), 'the record still has the owner');
});

test('retries a join that failed during a store outage', async () => {
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

test('a removed owner rejoins under a new identifier', async () => {
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
