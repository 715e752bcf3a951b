import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createDepartureLog, departuresKey } from '../directory/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import { runUntilStop } from './run_until_stop.ts';
import { createTestRegistry, TEST_DRAIN_MS, testAnnouncement } from './_test_registry.ts';

const test = suite('departures');

/** The lease of a node's entry is shorter. */
const LONG_RESTART_MS = 6000;

const announcement = { ...testAnnouncement, sequence: 7 };

const setUp = () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const startNode = () => {
    const departureLog = createDepartureLog({
      clock, store, node: 'host-1', logger: noopLogger,
    });
    const registry = createTestRegistry(clock, departureLog);
    const kill = runUntilStop(departureLog.run, { clock, logger: noopLogger, part: 'departures' });
    return { registry, kill };
  };
  /** Waits until the departures so far may be confirmed. */
  const acknowledge = async ({ registry }: ReturnType<typeof startNode>) => {
    const startedAt = clock.now();
    let waitedMs: number | undefined;
    registry.departuresStored().then(() => {
      waitedMs = clock.now() - startedAt;
    });
    while (waitedMs === undefined) await clock.advance(10);
    return waitedMs;
  };
  return {
    clock, store, startNode, acknowledge,
  };
};

// A restarted node acknowledged a departure that it did not remember, since no announcement had
// reached it yet. The announcement that arrived late brought the instance into use again.
test('an instance that left before it was known is drained when it is announced', async () => {
  const { clock, startNode, acknowledge } = setUp();
  const node = startNode();
  await clock.advance(100);
  const leftAt = clock.now();
  node.registry.leave('i-1');
  await acknowledge(node);
  await clock.advance(500);
  node.registry.announce(announcement);
  assert.is(node.registry.local()?.state, 'draining');
  assert.ok(node.registry.local()!.acceptsUntil <= leftAt + TEST_DRAIN_MS / 2);
  node.registry.announce({ ...announcement, sequence: 8 });
  assert.is(node.registry.local()?.state, 'draining');
  await node.kill();
});

// The entry of a node lapsed while the node was down, and with it the departure that it named.
for (const isAnnounced of [true, false]) {
  const when = isAnnounced ? 'after' : 'before';
  test(`a departure ${when} the first announcement outlasts a long restart`, async () => {
    const { clock, startNode, acknowledge } = setUp();
    const before = startNode();
    await clock.advance(100);
    if (isAnnounced) before.registry.announce(announcement);
    before.registry.leave('i-1', 5);
    await acknowledge(before);
    before.kill();
    await clock.advance(LONG_RESTART_MS);
    const after = startNode();
    after.registry.announce({ ...announcement, sequence: 8 });
    // Nothing is known of earlier departures before the store has answered.
    assert.ok(after.registry.local()!.acceptsUntil <= clock.now());
    await clock.advance(100);
    after.registry.announce({ ...announcement, sequence: 9 });
    assert.is(after.registry.local()?.state, 'draining');
    assert.ok(after.registry.local()!.acceptsUntil <= clock.now());
    after.kill();
  });
}

test('a late announcement of a draining instance does not end its departure', async () => {
  const { clock, startNode, acknowledge } = setUp();
  const before = startNode();
  await clock.advance(100);
  before.registry.announce({ ...announcement, isDraining: true });
  await acknowledge(before);
  before.kill();
  await clock.advance(LONG_RESTART_MS);
  const after = startNode();
  await clock.advance(100);
  after.registry.announce({ ...announcement, sequence: 6 });
  assert.is(after.registry.local()?.state, 'draining');
  assert.ok(after.registry.local()!.acceptsUntil <= clock.now());
  after.kill();
});

// A late departure of an earlier life took the present one out of use.
test('the departure of an earlier life leaves a later one in use', async () => {
  const { clock, startNode } = setUp();
  const node = startNode();
  await clock.advance(100);
  node.registry.announce({ ...announcement, startedAt: 6 });
  node.registry.leave('i-1', 5);
  assert.is(node.registry.local()?.state, 'ready');
  assert.is(node.registry.local()?.acceptsUntil, Infinity);
  node.registry.leave('i-2');
  assert.is(node.registry.local()?.state, 'ready');
  node.registry.leave('i-1', 6);
  assert.is(node.registry.local()?.state, 'draining');
  await node.kill();
});

interface SuccessorDeparture {
  readonly name: string;
  /** Makes the later process, with the given start, leave. */
  readonly leave: (registry: InstanceRegistry, startedAt: number) => void;
}

const successorDepartures: readonly SuccessorDeparture[] = [
  {
    name: 'deregisters before its first announcement',
    leave: (registry, startedAt) => registry.leave('i-1', startedAt),
  },
  {
    name: 'deregisters after its first announcement',
    leave: (registry, startedAt) => {
      registry.announce({ ...announcement, startedAt, sequence: 1 });
      registry.leave('i-1', startedAt);
    },
  },
  {
    name: 'first announces that it is draining',
    leave: (registry, startedAt) => {
      registry.announce({
        ...announcement, startedAt, sequence: 1, isDraining: true,
      });
    },
  },
];

for (const { name, leave } of successorDepartures) {
  // An instance that had started again under its identifier left before its node noticed that the
  // earlier process had ended. Requests reached it long after its departure had been confirmed.
  test(`a process that ${name} gets no more requests for the one before it`, async () => {
    const { clock, startNode, acknowledge } = setUp();
    const node = startNode();
    await clock.advance(100);
    node.registry.announce(announcement);
    await clock.advance(100);
    const leftAt = clock.now();
    const startedAt = clock.wallTime();
    leave(node.registry, startedAt);
    assert.is(node.registry.local()?.state, 'draining');
    assert.ok(node.registry.local()!.acceptsUntil <= leftAt + TEST_DRAIN_MS / 2);
    assert.ok(await acknowledge(node) < 1000);
    // Late announcements of either process change nothing.
    node.registry.announce({ ...announcement, sequence: 8 });
    assert.is(node.registry.local()?.state, 'draining');
    node.registry.announce({ ...announcement, startedAt, sequence: 2 });
    assert.is(node.registry.local()?.state, 'draining');
    assert.ok(node.registry.local()!.acceptsUntil <= leftAt + TEST_DRAIN_MS / 2);
    await node.kill();
  });

  test(`an earlier process is not in use after a restart if one ${name}`, async () => {
    const { clock, startNode, acknowledge } = setUp();
    const before = startNode();
    await clock.advance(100);
    before.registry.announce(announcement);
    leave(before.registry, clock.wallTime());
    await acknowledge(before);
    before.kill();
    await clock.advance(LONG_RESTART_MS);
    const after = startNode();
    await clock.advance(100);
    after.registry.announce({ ...announcement, sequence: 8 });
    assert.is(after.registry.local()?.state, 'draining');
    assert.ok(after.registry.local()!.acceptsUntil <= clock.now());
    // The process that starts next is in use.
    after.registry.announce({ ...announcement, startedAt: clock.wallTime(), sequence: 1 });
    assert.is(after.registry.local()?.state, 'ready');
    after.kill();
  });
}

// Guards against another writer that takes an instance out of use.
test('the departure of a process that starts in the future leaves others in use', async () => {
  const { clock, startNode } = setUp();
  const node = startNode();
  await clock.advance(100);
  node.registry.announce(announcement);
  for (const startedAt of [9e15, clock.wallTime() + 1]) {
    node.registry.leave('i-1', startedAt);
    assert.is(node.registry.local()?.state, 'ready');
  }
  await node.kill();
});

test('a departure is confirmed once it is stored, or after a limit', async () => {
  const {
    clock, store, startNode, acknowledge,
  } = setUp();
  const node = startNode();
  await clock.advance(100);
  node.registry.leave('i-1', 5);
  assert.ok(await acknowledge(node) < 100);
  assert.match((await store.get(departuresKey('host-1')))._unsafeUnwrap()!.value, 'i-1');
  store.faults.failWith = 'unavailable';
  node.registry.leave('i-2', 6);
  assert.ok(await acknowledge(node) < 1000);
  store.faults.failWith = undefined;
  await clock.advance(1000);
  assert.match((await store.get(departuresKey('host-1')))._unsafeUnwrap()!.value, 'i-2');
  await node.kill();
});

test('a node that the store turns away uses its instance after some seconds', async () => {
  const { clock, store, startNode } = setUp();
  store.faults.failWith = 'unavailable';
  const node = startNode();
  node.registry.announce(announcement);
  await clock.advance(5000);
  assert.ok(node.registry.local()!.acceptsUntil <= clock.now());
  await clock.advance(6000);
  assert.is(node.registry.local()!.acceptsUntil, Infinity);
  await node.kill();
});

test('a record of another writer neither hides a departure nor lasts', async () => {
  const {
    clock, store, startNode, acknowledge,
  } = setUp();
  const key = departuresKey('host-1');
  for (const value of ['['.repeat(100_000), '{}', '[{"instance":5}]', '[{"leftAt":1e999}]']) {
    const { revision } = (await store.get(key))._unsafeUnwrap() ?? { revision: 0 };
    await store.transact({ expect: [{ key, revision }], puts: [{ key, value }] });
    const node = startNode();
    await clock.advance(100);
    node.registry.leave('i-1', 5);
    await acknowledge(node);
    node.registry.announce(announcement);
    assert.is(node.registry.local()?.state, 'draining');
    assert.match((await store.get(key))._unsafeUnwrap()!.value, '"i-1"');
    await node.kill();
  }
});

test.run();
