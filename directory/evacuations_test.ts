import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { decodeEvacuatedDomain, EVACUATE_PREFIX, OPERATOR_PREFIX } from '../platform/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createEvacuations, createStoreView } from './mod.ts';

const test = suite('evacuations');

const setUp = () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const stopping = new AbortController();
  const start = () => {
    const view = createStoreView({
      clock, store, prefix: OPERATOR_PREFIX, logger: noopLogger,
    });
    const evacuations = createEvacuations({
      clock, view, failureDomainOf: decodeEvacuatedDomain, logger: noopLogger,
    });
    let changes = 0;
    evacuations.onChange(() => {
      changes += 1;
    });
    view.follow(stopping.signal);
    return { view, evacuations, changes: () => changes };
  };
  return {
    clock,
    store,
    start,
    put: (domain: string) => store.transact({
      expect: [], puts: [{ key: `${EVACUATE_PREFIX}${domain}`, value: '{}' }],
    }),
    remove: (...domains: readonly string[]) => store.transact({
      expect: [], puts: [], removals: domains.map((domain) => `${EVACUATE_PREFIX}${domain}`),
    }),
    stop: () => stopping.abort(),
  };
};

// Guards against instances that stay unused, or are used, after the operator's keys have changed.
test('evacuations follow the keys, also when several are removed at once', async () => {
  const {
    clock, start, put, remove, stop,
  } = setUp();
  const { evacuations, changes } = start();
  assert.not(evacuations.isKnown());
  await clock.advance(200);
  assert.ok(evacuations.isKnown());
  await put('a');
  await put('b');
  await put('without/hosts');
  await clock.advance(300);
  assert.ok(evacuations.isEvacuated('a') && evacuations.isEvacuated('b'));
  assert.not(evacuations.isEvacuated('c'));
  assert.is(evacuations.endedForMs('a'), Infinity);
  assert.ok(evacuations.evacuatedForMs('a') <= 300);
  const before = changes();
  await remove('a', 'b');
  await clock.advance(300);
  assert.is(changes(), before + 1);
  assert.is(evacuations.count(), 1);
  assert.is(evacuations.evacuatedForMs('a'), 0);
  assert.ok(evacuations.endedForMs('b') <= 300);
  stop();
});

// A node that restarts seconds after the begin must not serve keys for another 1.5 s.
test('an evacuation found at the start, or after a compaction, began long ago', async () => {
  const {
    clock, store, start, put, remove, stop,
  } = setUp();
  await put('a');
  const { evacuations } = start();
  await clock.advance(200);
  assert.is(evacuations.evacuatedForMs('a'), Infinity);
  store.faults.failWith = 'unavailable';
  await clock.advance(1000);
  store.faults.failWith = undefined;
  await remove('a');
  await put('b');
  store.compact();
  await clock.advance(2000);
  assert.not(evacuations.isEvacuated('a'));
  assert.is(evacuations.evacuatedForMs('b'), Infinity);
  stop();
});

test('an evacuation that begins and ends while a node is not looking changes nothing', async () => {
  const {
    clock, store, start, put, remove, stop,
  } = setUp();
  const { evacuations } = start();
  await clock.advance(200);
  store.faults.failWith = 'unavailable';
  await clock.advance(1000);
  store.faults.failWith = undefined;
  await put('a');
  await remove('a');
  await clock.advance(2000);
  assert.not(evacuations.isEvacuated('a'));
  assert.is(evacuations.evacuatedForMs('a'), 0);
  stop();
});

// A follower whose own watch is silent reads what its relay has seen. The contract's revision alone
// would not tell it that an evacuation has ended.
test('the newest change of a view is a removal, and a full read counts as one', async () => {
  const {
    clock, store, start, put, remove, stop,
  } = setUp();
  const { view } = start();
  await clock.advance(200);
  const put1 = (await put('a'))._unsafeUnwrap();
  await clock.advance(300);
  assert.is(view.changedRevision(), put1);
  await remove('a');
  const other = (await store.transact({
    expect: [], puts: [{ key: 'elsewhere', value: '' }],
  }))._unsafeUnwrap();
  await clock.advance(300);
  assert.ok(view.changedRevision() > put1 && view.changedRevision() < other);
  const { view: later } = start();
  await clock.advance(200);
  assert.is(later.changedRevision(), other);
  stop();
});

// A follower that was cut off from the store, but not from its relay, went on serving the domain.
test('a node without the store goes by its relay until its own view is newer', async () => {
  const {
    clock, store, start, put, remove, stop,
  } = setUp();
  const relay = start();
  const follower = start();
  await clock.advance(200);
  // The view of the follower lags, as it would behind a partition.
  store.faults.failWith = 'unavailable';
  await clock.advance(100);
  follower.evacuations.noteRelayed(relay.view.revision() + 1, ['a']);
  assert.ok(follower.evacuations.isEvacuated('a'));
  assert.is(follower.evacuations.evacuatedForMs('a'), 0);
  follower.evacuations.noteRelayed(relay.view.revision(), []);
  assert.ok(follower.evacuations.isEvacuated('a'), 'an older state changes nothing');
  store.faults.failWith = undefined;
  await put('b');
  await put('c');
  await remove('c');
  await clock.advance(2000);
  follower.evacuations.noteRelayed(relay.view.changedRevision(), relay.evacuations.stored());
  assert.equal(relay.evacuations.stored(), ['b']);
  assert.not(follower.evacuations.isEvacuated('a'));
  assert.ok(follower.evacuations.isEvacuated('b'));
  stop();
});

test.run();
