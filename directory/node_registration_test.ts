import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createRightToGrant, RIGHT_TO_GRANT_MS } from '../ranges/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  createFleetView, createNodeRegistration, createStoreView, type NodeEntry, nodeKey, KEY_PREFIX,
} from './mod.ts';

const test = suite('directory');

const entryOf = (node: string, changes: Partial<NodeEntry> = {}): NodeEntry => ({
  node,
  startedAt: 1,
  peerAddress: '127.0.0.1:1',
  region: 'r',
  failureDomain: 'd',
  isStopping: false,
  instance: undefined,
  ...changes,
});

/** An entry is in use again about 2 s after the store is back. */
const MAX_RELOAD_MS = 2000;

const setUp = (random: () => number = Math.random) => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const right = createRightToGrant(clock, RIGHT_TO_GRANT_MS);
  const stopping = new AbortController();
  const own = createNodeRegistration({
    clock, store, logger: noopLogger, right, entry: entryOf('host-1'),
  });
  own.run(stopping.signal);
  const view = createStoreView({
    clock, store, prefix: KEY_PREFIX, logger: noopLogger, random,
  });
  view.follow(stopping.signal);
  const fleet = createFleetView({ clock, view });
  const stored = async () => (await store.get(nodeKey('host-1')))._unsafeUnwrap();
  return {
    clock, store, right, own, view, fleet, stored, stop: () => stopping.abort(),
  };
};

test('an entry that expired in a store outage is rewritten within 2 s of recovery', async () => {
  const { clock, store, stored } = setUp();
  await clock.advance(1000);
  store.faults.failWith = 'unavailable';
  await clock.advance(5000);
  store.faults.failWith = undefined;
  store.expireAllLeases();
  await clock.advance(2000);
  assert.ok(await stored());
});

test('an entry that the store removed under a live lease is rewritten', async () => {
  const { clock, store, stored } = setUp();
  await clock.advance(1000);
  store.removeEntry(nodeKey('host-1'));
  await clock.advance(4500);
  assert.ok(await stored());
});

test('the right to grant ends when the entry is removed and the store is unavailable', async () => {
  const { clock, store, right } = setUp();
  await clock.advance(1000);
  assert.ok(right.remainingMs() > 0);
  store.removeEntry(nodeKey('host-1'));
  store.faults.failWith = 'unavailable';
  await clock.advance(RIGHT_TO_GRANT_MS + 100);
  assert.is(right.remainingMs(), 0);
});

test('a changed entry is written within 50 ms', async () => {
  const { clock, own, stored } = setUp();
  await clock.advance(1000);
  own.update(entryOf('host-1', { isStopping: true }));
  await clock.advance(50);
  assert.match((await stored())!.value, '"isStopping":true');
});

test('an entry left by an earlier process of the node is replaced', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const lease = (await store.grantLease(9000))._unsafeUnwrap();
  const key = nodeKey('host-1');
  await store.transact({ expect: [], puts: [{ key, value: 'old', lease }] });
  const stopping = new AbortController();
  const own = createNodeRegistration({
    clock,
    store,
    logger: noopLogger,
    right: createRightToGrant(clock, RIGHT_TO_GRANT_MS),
    entry: entryOf('host-1'),
  });
  own.run(stopping.signal);
  await clock.advance(1500);
  assert.match((await store.get(key))._unsafeUnwrap()!.value, 'host-1');
  stopping.abort();
});

test('a node whose entry has just gone missing is still usable', async () => {
  const { clock, store, fleet } = setUp();
  await clock.advance(1000);
  assert.is(fleet.present().size, 1);
  store.faults.leaseExpiryPaused = false;
  store.removeEntry(nodeKey('host-1'));
  await clock.advance(300);
  assert.is(fleet.present().size, 0);
  assert.is(fleet.usable().length, 1);
});

test('a store view reloads all entries after the store compacted its history', async () => {
  const {
    clock, store, view, stop,
  } = setUp();
  await clock.advance(1000);
  store.faults.failWith = 'unavailable';
  await clock.advance(2000);
  store.faults.failWith = undefined;
  await store.transact({ expect: [], puts: [{ key: `${KEY_PREFIX}x`, value: 'new' }] });
  store.compact();
  await clock.advance(2000);
  assert.is(view.get(`${KEY_PREFIX}x`)?.value, 'new');
  stop();
});

// Guards against a second backoff before the reload, after the answer that says 'compacted'.
test('a store view reloads within one backoff after an outage of any length', async () => {
  for (let outageMs = 2000; outageMs < 3500; outageMs += 25) {
    const {
      clock, store, view, stop,
    } = setUp(() => 0.999);
    await clock.advance(1000);
    store.faults.failWith = 'unavailable';
    await clock.advance(outageMs);
    store.faults.failWith = undefined;
    await store.transact({ expect: [], puts: [{ key: `${KEY_PREFIX}x`, value: 'new' }] });
    store.compact();
    await clock.advance(MAX_RELOAD_MS);
    assert.is(view.get(`${KEY_PREFIX}x`)?.value, 'new', `after an outage of ${outageMs} ms`);
    stop();
  }
});

test('an entry that cannot be decoded adds no node', async () => {
  const { clock, store, fleet } = setUp();
  await store.transact({ expect: [], puts: [{ key: nodeKey('x'), value: '{"node":5}' }] });
  await clock.advance(1000);
  assert.equal([...fleet.present().keys()], ['host-1']);
});

test.run();
