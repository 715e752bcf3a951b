import { err } from 'neverthrow';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import { decodeEvacuatedDomain, EVACUATE_PREFIX, OPERATOR_PREFIX } from '../platform/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createEvacuations, createPauseGuard, createStoreView } from './mod.ts';

const test = suite('pause guard');

const PAUSE_MS = 10_000;

/** Starts a node whose time of day jumps when its host is suspended; its steady clock does not. */
const setUp = async () => {
  const base = createFakeClock();
  let suspendedMs = 0;
  const clock = { ...base, wallTime: () => base.wallTime() + suspendedMs };
  const store = createMemoryLeasedStore(base);
  let calls = 0;
  const view = createStoreView({
    clock,
    store: {
      ...store,
      watch: async (...call) => {
        calls += 1;
        await base.sleep(5);
        return store.watch(...call);
      },
    },
    prefix: OPERATOR_PREFIX,
    logger: noopLogger,
    // The watch in progress before the pause is on a connection that has ended.
    watch: async () => {
      await base.sleep(Infinity);
      return err(new StoreError('unavailable', 'silent', { step: 'test' }));
    },
  });
  const guard = createPauseGuard({ clock, view, logger: noopLogger });
  const evacuations = createEvacuations({
    clock,
    view,
    failureDomainOf: decodeEvacuatedDomain,
    mayLag: () => !guard.isCurrent(),
    logger: noopLogger,
  });
  const stopping = new AbortController();
  view.follow(stopping.signal);
  await base.advance(1000);
  return {
    clock: base,
    store,
    guard,
    evacuations,
    calls: () => calls,
    suspend: () => {
      suspendedMs += PAUSE_MS;
    },
    stop: () => {
      guard.stop();
      stopping.abort();
    },
  };
};

// A host that was suspended when its domain was evacuated served, on waking, the requests that were
// waiting in its sockets, and its keys for 1.5 s more.
test('after a pause a node reads the evacuations before it serves', async () => {
  const {
    clock, store, guard, evacuations, calls, suspend, stop,
  } = await setUp();
  assert.ok(guard.isCurrent());
  assert.is(calls(), 0);
  await store.transact({
    expect: [], puts: [{ key: `${EVACUATE_PREFIX}d0`, value: '{}' }],
  });
  suspend();
  assert.not(guard.isCurrent());
  await clock.advance(20);
  assert.ok(guard.isCurrent());
  assert.is(calls(), 1);
  assert.is(evacuations.evacuatedForMs('d0'), Infinity);
  stop();
});

test('a node goes on when the store is silent after a pause, or time passes evenly', async () => {
  const {
    clock, store, guard, calls, suspend, stop,
  } = await setUp();
  await clock.advance(60_000);
  assert.ok(guard.isCurrent());
  assert.is(calls(), 0);
  store.faults.failWith = 'unavailable';
  suspend();
  assert.not(guard.isCurrent());
  await clock.advance(1500);
  assert.not(guard.isCurrent());
  await clock.advance(1000);
  assert.ok(guard.isCurrent());
  stop();
});

test.run();
