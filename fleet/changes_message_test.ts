import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import {
  createStoreView, createViewHistory, KEY_PREFIX, type ViewHistory,
} from '../directory/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  decodeChanges, encodeChanges, type PeerChanges, serveChanges,
} from './changes_message.ts';

const test = suite('changes message');

const sourceOf = (history: ViewHistory) => ({
  history,
  view: { startCurrencyCheck: () => () => false, revision: () => 0 },
  operatorRevision: () => 3,
});

test('a peer that follows a view receives every change and removal', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
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
    operatorRevision: 3,
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
    operatorRevision: () => 0,
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
    encodeChanges({ at: 10, events: [], operatorRevision: 3 }),
  );
  assert.is(await serveChanges(sourceOf(history), 'changes?after=x&wait=0'), undefined);
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

// A node that relied on a relay learned of a new contract only with the next answer of the relay.
test('a waiting peer learns of a new contract immediately', async () => {
  const clock = createFakeClock();
  const history = createViewHistory(clock);
  history.reset(10);
  let contract = 3;
  let text: string | undefined;
  const source = { ...sourceOf(history), operatorRevision: () => contract };
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
