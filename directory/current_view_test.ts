import { ok } from 'neverthrow';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createRightToGrant, RIGHT_TO_GRANT_MS } from '../ranges/mod.ts';
import { createMemoryLeasedStore, type EntryChanges, type LeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  createNodeRegistration, createStoreView, KEY_PREFIX, type NodeEntry, nodeKey,
} from './mod.ts';

const test = suite('current view');

const entry: NodeEntry = {
  node: 'host-1',
  startedAt: 1,
  peerAddress: '10.0.0.1:1',
  region: 'r',
  failureDomain: 'd',
  isStopping: false,
  instance: undefined,
};

/** Starts a node whose view follows a relay; `answer` is what the relay tells of the store. */
const setUp = async (answer: (changes: EntryChanges) => EntryChanges) => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const right = createRightToGrant(clock, RIGHT_TO_GRANT_MS);
  let reads = 0;
  let isRelayCut = false;
  const counted: LeasedStore = {
    ...store,
    get: (key) => {
      reads += 1;
      return store.get(key);
    },
  };
  const view = createStoreView({
    clock,
    store: counted,
    prefix: KEY_PREFIX,
    logger: noopLogger,
    watch: async (prefix, after, wait) => {
      await clock.sleep(1200, wait.signal);
      if (isRelayCut) return ok({ events: [], at: after });
      return (await store.watch(prefix, after, { waitMs: 0 })).map(answer);
    },
  });
  const own = createNodeRegistration({
    clock, store: counted, logger: noopLogger, right, entry, view,
  });
  const stopping = new AbortController();
  view.follow(stopping.signal);
  own.run(stopping.signal);
  await clock.advance(2000);
  reads = 0;
  return {
    clock,
    store,
    view,
    right,
    reads: () => reads,
    cutRelay: () => {
      isRelayCut = true;
    },
    stop: () => stopping.abort(),
  };
};

// Reads of the own entry were a quarter of all priced calls of a large fleet.
test('a view that is current keeps the right to grant without reads of the entry', async () => {
  const {
    clock, right, reads, stop,
  } = await setUp((changes) => changes);
  for (let second = 0; second < 40; second += 1) {
    await clock.advance(1000);
    assert.ok(right.remainingMs() > RIGHT_TO_GRANT_MS - 4000, `${right.remainingMs()} ms`);
  }
  assert.is(reads(), 0);
  stop();
});

test('a view that may be stale keeps no right, so the entry is read', async () => {
  const {
    clock, right, reads, stop,
  } = await setUp((changes) => ({ ...changes, isCurrent: false }));
  await clock.advance(20_000);
  assert.ok(reads() >= 4, `${reads()} reads`);
  assert.ok(right.remainingMs() > RIGHT_TO_GRANT_MS - 5000);
  stop();
});

test('an entry that the store withdrew ends the right unless it is written again', async () => {
  const {
    clock, store, right, view, stop,
  } = await setUp((changes) => changes);
  store.removeEntry(nodeKey('host-1'));
  store.faults.failWith = 'unavailable';
  await clock.advance(3000);
  const remaining = right.remainingMs();
  await clock.advance(3000);
  assert.ok(right.remainingMs() <= remaining - 2900, 'the right is not prolonged');
  await clock.advance(RIGHT_TO_GRANT_MS);
  assert.is(right.remainingMs(), 0);
  assert.ok(view.revision() > 0);
  stop();
});

test('a relay that is cut from the store prolongs no right', async () => {
  const {
    clock, store, right, cutRelay, stop,
  } = await setUp((changes) => changes);
  cutRelay();
  store.faults.failWith = 'unavailable';
  await clock.advance(RIGHT_TO_GRANT_MS);
  assert.is(right.remainingMs(), 0);
  stop();
});

test('an entry that another writer replaced does not count as the own one', async () => {
  const {
    clock, store, right, stop,
  } = await setUp((changes) => changes);
  store.faults.failWith = undefined;
  const key = nodeKey('host-1');
  const before = right.remainingMs();
  await store.transact({ expect: [], puts: [{ key, value: JSON.stringify(entry) }] });
  store.faults.failWith = 'unavailable';
  await clock.advance(2500);
  assert.ok(right.remainingMs() <= before - 1000);
  stop();
});

test('a check of the view holds only for calls that were sent after its start', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  let delayMs = 0;
  const slow: LeasedStore = {
    ...store,
    watch: async (prefix, after, wait) => {
      const changes = await store.watch(prefix, after, { ...wait, waitMs: 0 });
      await clock.sleep(delayMs);
      return changes;
    },
  };
  const view = createStoreView({
    clock, store: slow, prefix: KEY_PREFIX, logger: noopLogger,
  });
  delayMs = 500;
  const early = view.refresh();
  const isCurrent = view.startCurrencyCheck();
  await clock.advance(600);
  await early;
  assert.is(isCurrent(), false);
  const late = view.refresh();
  await clock.advance(600);
  await late;
  assert.is(isCurrent(), true);
});

test.run();
