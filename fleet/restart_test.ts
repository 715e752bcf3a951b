import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import {
  createDepartureLog, createNodeRegistration, createStoreView, type DirectoryInstance, KEY_PREFIX,
  type NodeEntry, nodeKey,
} from '../directory/mod.ts';
import { CONTRACT_KEY } from '../platform/mod.ts';
import { createRightToGrant, RIGHT_TO_GRANT_MS } from '../ranges/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createTestCluster } from './_test_cluster.ts';
import { createContractSource } from './contract_source.ts';
import { runUntilStop } from './run_until_stop.ts';
import { createTestRegistry, testAnnouncement as announcement } from './_test_registry.ts';

const test = suite('restart');

const startNode = (
  clock: ReturnType<typeof createFakeClock>,
  store: ReturnType<typeof createMemoryLeasedStore>,
) => {
  const departureLog = createDepartureLog({
    clock, store, node: 'host-1', logger: noopLogger,
  });
  const registry = createTestRegistry(clock, departureLog);
  const entry = (instance?: DirectoryInstance): NodeEntry => ({
    node: 'host-1',
    startedAt: clock.wallTime(),
    peerAddress: '10.0.0.1:2',
    region: 'r',
    failureDomain: 'd',
    isStopping: false,
    instance,
  });
  const own = createNodeRegistration({
    clock,
    store,
    logger: noopLogger,
    right: createRightToGrant(clock, RIGHT_TO_GRANT_MS),
    entry: entry(),
    onFormerEntry: ({ instance }) => {
      if (instance !== undefined) registry.restore(instance);
    },
  });
  registry.onChange(() => own.update(entry(registry.describe())));
  const stopping = new AbortController();
  own.run(stopping.signal);
  departureLog.run(stopping.signal);
  return { registry, kill: () => stopping.abort() };
};

// After a restart of its node, an instance that had deregistered was in use again.
test('an instance that had left stays out of use when its node restarts', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const before = startNode(clock, store);
  before.registry.announce(announcement);
  await clock.advance(500);
  before.registry.leave('i-1');
  await clock.advance(500);
  before.kill();
  await clock.advance(300);
  const after = startNode(clock, store);
  // The announcement may come before the store has answered.
  after.registry.announce({ ...announcement, sequence: 9 });
  await clock.advance(500);
  assert.is(after.registry.local()?.state, 'draining');
  assert.ok(after.registry.local()!.acceptsUntil <= clock.now());
  after.registry.announce({ ...announcement, sequence: 10 });
  assert.is(after.registry.local()?.state, 'draining');
  // A later process of the instance is in use.
  after.registry.announce({ ...announcement, startedAt: 6, sequence: 1 });
  assert.is(after.registry.local()?.state, 'ready');
  after.kill();
});

test('an instance that has not left is in use when its node restarts', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const before = startNode(clock, store);
  before.registry.announce(announcement);
  await clock.advance(500);
  before.kill();
  const after = startNode(clock, store);
  after.registry.announce({ ...announcement, sequence: 9 });
  await clock.advance(500);
  assert.is(after.registry.local()?.state, 'ready');
  after.kill();
});

test('a withdrawn key is not granted again when the nodes of its hosts restart', async () => {
  const cluster = createTestCluster(3);
  await cluster.run(6000);
  cluster.hosts[2]!.instance().drain();
  await cluster.run(3000);
  assert.equal(cluster.hosts[2]!.instance().held(), []);
  for (const host of cluster.hosts) {
    host.killNode();
    host.startNode();
  }
  await cluster.run(3000);
  assert.equal(cluster.hosts[2]!.instance().held(), []);
  assert.is(cluster.heldFraction(), 1);
  cluster.stop();
});

test('a restarted node that the store turns away uses no contract and grants no keys', async () => {
  const cluster = createTestCluster(3);
  await cluster.run(6000);
  cluster.hosts[1]!.killNode();
  cluster.hosts[1]!.setStorePartitioned(true);
  cluster.hosts[1]!.startNode();
  // The holds that the earlier process granted end, and the other hosts take over.
  await cluster.run(26_000);
  assert.equal(cluster.hosts[1]!.instance().held(), []);
  assert.is(cluster.heldFraction(), 1);
  cluster.stop();
});

test('a contract that was replaced does not come back with an older revision', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const contractOf = (version: number) => JSON.stringify({ version, resources: [] });
  const view = createStoreView({
    clock, store, prefix: CONTRACT_KEY, logger: noopLogger,
  });
  const contracts = createContractSource(view, noopLogger);
  const stopping = new AbortController();
  view.follow(stopping.signal);
  const write = async (value: string) => {
    await store.transact({ expect: [], puts: [{ key: CONTRACT_KEY, value }] });
    await clock.advance(500);
  };
  await write(contractOf(7));
  for (const value of [contractOf(6), 'x', '['.repeat(100_000), contractOf(1e300)]) {
    await write(value);
    assert.is(contracts.routes()?.revision, 7);
  }
  await write(contractOf(8));
  assert.is(contracts.routes()?.revision, 8);
  stopping.abort();
});

// The own watch of a node had gone silent, and its contract stayed behind those of its peers.
test('a newer contract that a relay knows is read at once', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  let isSilent = false;
  const view = createStoreView({
    clock,
    store,
    prefix: CONTRACT_KEY,
    logger: noopLogger,
    watch: async (...call) => {
      if (isSilent) await clock.sleep(25_000);
      return store.watch(...call);
    },
  });
  const contracts = createContractSource(view, noopLogger);
  const stopping = new AbortController();
  await store.transact({
    expect: [], puts: [{ key: CONTRACT_KEY, value: '{"version":1,"resources":[]}' }],
  });
  isSilent = true;
  view.follow(stopping.signal);
  await clock.advance(1000);
  const revision = (await store.transact({
    expect: [], puts: [{ key: CONTRACT_KEY, value: '{"version":2,"resources":[]}' }],
  }))._unsafeUnwrap();
  await clock.advance(1000);
  assert.is(contracts.routes()?.revision, 1);
  contracts.noteStoredRevision(revision);
  await clock.advance(100);
  assert.is(contracts.routes()?.revision, 2);
  assert.is(contracts.storedRevision(), revision);
  stopping.abort();
});

// A task that had failed once was never run again, and the node went on with what it knew.
test('a background task that fails is run again', async () => {
  const clock = createFakeClock();
  let runs = 0;
  const stop = runUntilStop(async (signal) => {
    runs += 1;
    if (runs < 3) throw new Error('failed');
    await clock.sleep(60_000, signal);
  }, { clock, logger: noopLogger, part: 'test' });
  await clock.advance(2000);
  assert.is(runs, 3);
  const stopped = stop();
  await clock.advance(0);
  await stopped;
  assert.is(runs, 3);
});

test('an entry of the node that another writer left is replaced', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const key = nodeKey('host-1');
  assert.ok(key.startsWith(KEY_PREFIX));
  await store.transact({ expect: [], puts: [{ key, value: '['.repeat(10_000) }] });
  const { kill } = startNode(clock, store);
  await clock.advance(1000);
  assert.match((await store.get(key))._unsafeUnwrap()!.value, '"node":"host-1"');
  kill();
});

test.run();
