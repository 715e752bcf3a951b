import type { Result } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { StoreError } from '../errors/mod.ts';
import {
  createMemoryStore, type EntryChange, type Store, updateEntry,
} from './mod.ts';

const kindOf = (outcome: Result<unknown, StoreError>) => (
  outcome.isErr() ? outcome.error.kind : 'ok'
);

const addName = (name: string): EntryChange => (current, writer) => {
  const names: string[] = current ? JSON.parse(current.value).names : [];
  if (names.includes(name)) return undefined;
  return JSON.stringify({ names: [...names, name], writer });
};

const namesOf = async (store: Store) => (
  JSON.parse((await store.get('k')).unwrapOr(undefined)?.value ?? '{}').names
);

const setUp = () => {
  const clock = createFakeClock();
  return { clock, store: createMemoryStore(clock) };
};

test('no update of concurrent writers is lost', async () => {
  const { clock, store } = setUp();
  const names = ['a', 'b', 'c', 'd', 'e'];
  const updates = names.map((name, index) => (
    updateEntry(store, 'k', addName(name), { clock, writer: name, random: () => index / 5 })
  ));
  await clock.advance(5000);
  for (const update of updates) assert.ok((await update).isOk());
  assert.equal((await namesOf(store)).sort(), names);
});

test('after a lost reply, the writer identifier shows the write without a second one', async () => {
  const { clock, store } = setUp();
  store.loseReplies(1);
  const append: EntryChange = (current, writer) => JSON.stringify({
    names: [...(current ? JSON.parse(current.value).names : []), 'a'], writer,
  });
  const update = updateEntry(store, 'k', append, { clock, writer: 'w1' });
  await clock.advance(1000);
  assert.is((await update).unwrapOr(undefined)?.revision, 1);
  assert.equal(await namesOf(store), ['a']);
  assert.is(store.counters().writes, 1);
});

test('the outcome is unknown if the store goes down after the reply was lost', async () => {
  const { clock, store } = setUp();
  store.loseReplies(1);
  const stopping: Store = {
    ...store,
    compareAndSwap: async (...call) => {
      const outcome = await store.compareAndSwap(...call);
      store.setDown(true);
      return outcome;
    },
  };
  const update = updateEntry(stopping, 'k', addName('a'), { clock, writer: 'w1' });
  await clock.advance(10_000);
  assert.is(kindOf(await update), 'unknown');
});

test('the update fails with unavailable if the store is down from the start', async () => {
  const { clock, store } = setUp();
  store.setDown(true);
  const update = updateEntry(store, 'k', addName('a'), { clock, writer: 'w1' });
  await clock.advance(1000);
  assert.is(kindOf(await update), 'unavailable');
});

test.run();
