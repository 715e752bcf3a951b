import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createViewHistory, type NodeEntry } from '../directory/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { decodeChanges, type PeerChanges, serveChanges } from './changes_message.ts';
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
  const answers = new Map<string, PeerChanges | 'compacted' | 'unable'>();
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
      const answer = answers.get(address);
      if (answer === undefined) throw new Error('no answer');
      return answer === 'unable' ? undefined : answer;
    },
    isAsked: activity.isAsked,
    onNoRelay: () => {
      losses += 1;
    },
    onOperatorRevision: (...values) => {
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

const NO_CHANGES: PeerChanges = { events: [], at: 9, operatorRevision: 0 };

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

// The store cut the watches of all relays at once. For a moment they could not answer, and each of
// their followers watched the store for five seconds or more.
test('relays that cannot answer for a moment stay in use', async () => {
  const { watchOf, answers, directCalls } = setUp(30);
  for (const index of [0, 1]) answers.set(`10.0.0.${index}:1`, 'unable');
  const watch = watchOf('host-10');
  assert.is((await watch('p/', 0, { waitMs: 0 })).isOk(), true);
  assert.is(directCalls(), 1);
  for (const index of [0, 1]) answers.set(`10.0.0.${index}:1`, NO_CHANGES);
  for (let poll = 0; poll < 10; poll += 1) await watch('p/', 9, { waitMs: 0 });
  assert.is(directCalls(), 1);
});

// A relay that is cut off from the store for long would make its followers ask it in vain.
test('a relay that cannot answer twice in a row counts as failed', async () => {
  const { watchOf, answers, asked } = setUp(30);
  answers.set('10.0.0.0:1', 'unable');
  answers.set('10.0.0.1:1', NO_CHANGES);
  const watch = watchOf('host-10');
  for (let poll = 0; poll < 5; poll += 1) await watch('p/', 9, { waitMs: 0 });
  assert.is(asked.filter((address) => address.startsWith('10.0.0.0:1')).length, 2);
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

test('a node that is partitioned from the store does not act as a relay', () => {
  const connected = { isConnected: () => true };
  assert.is(mayRelay(connected, { remainingMs: () => 12_000 }), true);
  assert.is(mayRelay({ isConnected: () => false }, { remainingMs: () => 12_000 }), false);
  // A silent partition shows in the right to grant before it shows in the watch.
  assert.is(mayRelay(connected, { remainingMs: () => 7500 }), false);
});

// Guards against taking the answer of an earlier build for the end of all evacuations.
test('an answer tells the evacuated domains, or that it does not know of evacuations', async () => {
  const history = createViewHistory(createFakeClock());
  history.reset(10);
  const ask = async (source: Parameters<typeof serveChanges>[0]) => (
    decodeChanges((await serveChanges(source, 'changes?after=10&wait=0'))!) as PeerChanges
  );
  const source = {
    history,
    view: { startCurrencyCheck: () => () => false, revision: () => 0 },
    operatorRevision: () => 3,
  };
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

test.run();
