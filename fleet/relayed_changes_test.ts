import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import {
  createStoreView, createViewHistory, type NodeEntry, KEY_PREFIX, type ViewHistory,
} from '../directory/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  decodeChanges, encodeChanges, type PeerChanges, serveChanges,
} from './changes_message.ts';
import { createRelayActivity, createRelayedChanges, mayRelay } from './relayed_changes.ts';

const test = suite('relayed changes');

const entryOf = (index: number, failureDomain = 'd1'): NodeEntry => ({
  node: `host-${String(index).padStart(2, '0')}`,
  startedAt: 1,
  peerAddress: `10.0.0.${index}:1`,
  region: 'r',
  failureDomain,
  isStopping: false,
  instance: undefined,
});

const setUp = (nodes: number) => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const entries = Array.from({ length: nodes }, (_, index) => entryOf(index));
  const asked: string[] = [];
  let direct = 0;
  const answers = new Map<string, PeerChanges | 'compacted'>();
  const activity = createRelayActivity(clock);
  const heard: unknown[] = [];
  let losses = 0;
  const watchOf = (node: string) => createRelayedChanges({
    clock,
    node,
    failureDomain: 'd1',
    entries: () => entries,
    direct: async (prefix, after, wait) => {
      direct += 1;
      return store.watch(prefix, after, wait);
    },
    fetchChanges: async (address, _, { isCatchingUp = false } = {}) => {
      asked.push(isCatchingUp ? `${address} at once` : address);
      return answers.get(address);
    },
    isAsked: activity.isAsked,
    onNoRelay: () => {
      losses += 1;
    },
    onContractRevision: (...values) => {
      heard.push(values);
    },
    logger: noopLogger,
  });
  return {
    clock,
    store,
    watchOf,
    asked,
    answers,
    activity,
    directCalls: () => direct,
    losses: () => losses,
    heard,
  };
};

const NO_CHANGES: PeerChanges = { events: [], at: 9, contractRevision: 0 };

const sourceOf = (history: ViewHistory) => ({
  history,
  view: { startCurrencyCheck: () => () => false, revision: () => 0 },
  contractRevision: () => 3,
});

test('in a small failure domain each node watches the store directly', async () => {
  const { watchOf, asked, directCalls } = setUp(8);
  await watchOf('host-07')('p/', 0, { waitMs: 0 });
  assert.equal(asked, []);
  assert.is(directCalls(), 1);
});

// A node whose relays had failed went on with the watch of its contract, which waits for far longer
// than a contract may take, since the relays name new ones.
test('a node is told when no relay has the changes', async () => {
  const { watchOf, answers, losses } = setUp(30);
  const watch = watchOf('host-10');
  answers.set('10.0.0.1:1', NO_CHANGES);
  await watch('p/', 0, { waitMs: 0 });
  assert.is(losses(), 0);
  answers.clear();
  await watch('p/', 0, { waitMs: 0 });
  assert.is(losses(), 1);
});

test('in a large failure domain only the relays watch the store directly', async () => {
  const { watchOf, answers, directCalls } = setUp(30);
  for (const index of [0, 1]) answers.set(`10.0.0.${index}:1`, NO_CHANGES);
  for (let index = 0; index < 30; index += 1) {
    const node = `host-${String(index).padStart(2, '0')}`;
    assert.is((await watchOf(node)('p/', 0, { waitMs: 0 })).isOk(), true);
  }
  assert.is(directCalls(), 2);
});

test('a node falls back from a failed relay to the other one, and then to the store', async () => {
  const {
    watchOf, asked, answers, directCalls,
  } = setUp(20);
  const watch = watchOf('host-10');
  answers.set('10.0.0.1:1', NO_CHANGES);
  await watch('p/', 0, { waitMs: 0 });
  // The connection to the second relay may have gone silent, too.
  assert.equal(asked, ['10.0.0.0:1', '10.0.0.1:1 at once']);
  assert.is(directCalls(), 0);
  answers.clear();
  await watch('p/', 0, { waitMs: 0 });
  assert.is(directCalls(), 1);
  // Relays that failed recently are not tried again.
  const before = asked.length;
  await watch('p/', 0, { waitMs: 0 });
  assert.is(asked.length, before);
  assert.is(directCalls(), 2);
});

// After the store had compacted its history, the relays listed it and had no older changes. Their
// followers took them for failed, and each of them watched the store for seconds.
test('a relay that has listed the store after a compaction stays in use', async () => {
  const { watchOf, answers, directCalls } = setUp(30);
  for (const index of [0, 1]) answers.set(`10.0.0.${index}:1`, 'compacted');
  const watch = watchOf('host-10');
  const result = await watch('p/', 5, { waitMs: 0 });
  assert.is(result._unsafeUnwrapErr().kind, 'compacted');
  for (const index of [0, 1]) answers.set(`10.0.0.${index}:1`, NO_CHANGES);
  for (let poll = 0; poll < 10; poll += 1) await watch('p/', 9, { waitMs: 0 });
  assert.is(directCalls(), 0);
});

// A relay whose revisions are ahead of those of the store would make a node list it without end.
test('a relay whose history stays too short counts as failed', async () => {
  const { watchOf, answers, asked } = setUp(30);
  answers.set('10.0.0.0:1', 'compacted');
  answers.set('10.0.0.1:1', NO_CHANGES);
  const watch = watchOf('host-10');
  assert.is((await watch('p/', 5, { waitMs: 0 })).isErr(), true);
  assert.is((await watch('p/', 5, { waitMs: 0 })).isOk(), true);
  assert.equal(asked, ['10.0.0.0:1', '10.0.0.0:1', '10.0.0.1:1 at once']);
});

// A false entry that sorts first kept the part of a relay, and each follower waited for it.
test('an entry behind which nobody answers loses the part of a relay', async () => {
  const {
    clock, watchOf, asked, answers, directCalls,
  } = setUp(20);
  const watch = watchOf('host-10');
  for (const index of [1, 2]) answers.set(`10.0.0.${index}:1`, NO_CHANGES);
  for (let second = 0; second < 60; second += 1) {
    await watch('p/', 0, { waitMs: 0 });
    await clock.advance(1000);
  }
  const wasted = asked.filter((address) => address.startsWith('10.0.0.0:1')).length;
  assert.ok(wasted <= 4, `${wasted} of ${asked.length} requests`);
  assert.is(directCalls(), 0);
});

// Two nodes that relied on each other would both have kept the same stale view.
test('a node that its peers ask for changes follows the store itself', async () => {
  const {
    clock, watchOf, activity, answers, directCalls,
  } = setUp(20);
  for (const index of [0, 1]) answers.set(`10.0.0.${index}:1`, NO_CHANGES);
  const watch = watchOf('host-10');
  await watch('p/', 0, { waitMs: 0 });
  assert.is(directCalls(), 0);
  activity.record();
  await watch('p/', 0, { waitMs: 0 });
  assert.is(directCalls(), 1);
  await clock.advance(10_000);
  await watch('p/', 0, { waitMs: 0 });
  assert.is(directCalls(), 1);
});

test('a peer that follows a view receives every change and removal', async () => {
  const { clock, store } = setUp(1);
  const history = createViewHistory(clock);
  const stopping = new AbortController();
  const view = createStoreView({
    clock, store, prefix: KEY_PREFIX, logger: noopLogger, history,
  });
  view.follow(stopping.signal);
  await clock.advance(100);
  const key = `${KEY_PREFIX}a`;
  const revision = (await store.transact({
    expect: [], puts: [{ key, value: 'x' }],
  }))._unsafeUnwrap();
  store.removeEntry(key);
  await clock.advance(500);
  const text = await serveChanges(sourceOf(history), `changes?after=${revision - 1}&wait=0`);
  const expected: PeerChanges = {
    at: view.revision(),
    contractRevision: 3,
    events: [{ key, revision, value: 'x' }, { key, revision: revision + 1, removed: true }],
  };
  assert.is(text, encodeChanges(expected));
  stopping.abort();
});

// A follower decoded each of ten versions of a record a second, and the relay sent all of them.
test('of several writes the newest is served, and removals with the write before', async () => {
  const history = createViewHistory(createFakeClock());
  history.reset(10);
  const put = (key: string, revision: number) => ({ key, revision, value: `${revision}` });
  const remove = (key: string, revision: number) => ({ key, revision, removed: true as const });
  history.add({ events: [put('a', 11), put('b', 12), put('a', 13)], at: 13 });
  history.add({ events: [remove('b', 14), put('b', 15), put('b', 16), put('a', 17)], at: 17 });
  history.add({ events: [remove('c', 18)], at: 20 });
  const changes = await history.changesAfter(10, 0);
  assert.equal(changes, {
    events: [put('b', 12), remove('b', 14), put('b', 16), put('a', 17), remove('c', 18)],
    at: 20,
  });
});

// The view took in the removal of a follower's entry between the choice of the changes and the
// answer, which called the changes without it current and so prolonged the follower's right.
test('changes that lag behind the view are not called current', async () => {
  const history = createViewHistory(createFakeClock());
  history.reset(10);
  const serve = async (viewRevision: number) => JSON.parse((await serveChanges({
    history,
    view: { startCurrencyCheck: () => () => true, revision: () => viewRevision },
    contractRevision: () => 0,
  }, 'changes?after=10&wait=0'))!) as { readonly current: boolean };
  assert.is((await serve(11)).current, false);
  assert.is((await serve(10)).current, true);
});

test('changes before a gap are not served, so that the peer reads all entries again', async () => {
  const history = createViewHistory(createFakeClock());
  const answer = async () => (
    decodeChanges((await serveChanges(sourceOf(history), 'changes?after=5&wait=0'))!)
  );
  assert.is(await answer(), 'compacted');
  history.reset(10);
  assert.is(await answer(), 'compacted');
  assert.is(
    await serveChanges(sourceOf(history), 'changes?after=10&wait=0'),
    encodeChanges({ at: 10, events: [], contractRevision: 3 }),
  );
  assert.is(await serveChanges(sourceOf(history), 'changes?after=x&wait=0'), undefined);
});

test('a node that is partitioned from the store does not act as a relay', () => {
  const connected = { isConnected: () => true };
  assert.is(mayRelay(connected, { remainingMs: () => 12_000 }), true);
  assert.is(mayRelay({ isConnected: () => false }, { remainingMs: () => 12_000 }), false);
  // A silent partition shows in the right to grant before it shows in the watch.
  assert.is(mayRelay(connected, { remainingMs: () => 7500 }), false);
});

test('a waiting peer receives a change immediately', async () => {
  const clock = createFakeClock();
  const history = createViewHistory(clock);
  history.reset(10);
  let text: string | undefined;
  serveChanges(sourceOf(history), 'changes?after=10&wait=2000').then((served) => {
    text = served;
  });
  await clock.advance(300);
  assert.is(text, undefined);
  history.add({ events: [{ key: 'a', revision: 11, value: 'x' }], at: 11 });
  await clock.advance(0);
  assert.is(text, '{"at":11,"events":[["a",11,"x"]],"current":false,"contract":3}');
});

// Guards against taking the answer of an earlier build for the end of all evacuations.
test('an answer tells the evacuated domains, or that it does not know of evacuations', async () => {
  const history = createViewHistory(createFakeClock());
  history.reset(10);
  const ask = async (source: Parameters<typeof serveChanges>[0]) => (
    decodeChanges((await serveChanges(source, 'changes?after=10&wait=0'))!)
  );
  const source = sourceOf(history);
  assert.not('evacuated' in await ask(source));
  assert.equal((await ask({ ...source, evacuated: () => [] })).evacuated, []);
  const tooMany = Array.from({ length: 1001 }, (_, index) => `d${index}`);
  assert.not('evacuated' in await ask({ ...source, evacuated: () => tooMany }));
  const told = await ask({ ...source, evacuated: () => ['d0'] });
  assert.equal(told.evacuated, ['d0']);
  const { watchOf, answers, heard } = setUp(12);
  for (const index of [0, 1]) answers.set(entryOf(index).peerAddress, told);
  await watchOf('host-07')('p/', 0, { waitMs: 0 });
  assert.equal(heard, [[3, ['d0']]]);
});

// A node that relied on a relay learned of a new contract only with the next answer of the relay.
test('a waiting peer learns of a new contract immediately', async () => {
  const clock = createFakeClock();
  const history = createViewHistory(clock);
  history.reset(10);
  let contract = 3;
  let text: string | undefined;
  const source = { ...sourceOf(history), contractRevision: () => contract };
  serveChanges(source, 'changes?after=10&wait=2000').then((served) => {
    text = served;
  });
  await clock.advance(300);
  assert.is(text, undefined);
  contract = 4;
  history.wake();
  await clock.advance(0);
  assert.is(text, '{"at":10,"events":[],"current":false,"contract":4}');
});

test.run();
