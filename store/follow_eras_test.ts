import type { Result } from 'neverthrow';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { StoreError } from '../errors/mod.ts';
import {
  createMemoryLeasedStore, createStoreEras, eraOfRevision, followEras,
} from './mod.ts';

const test = suite('eras of the store');

const kindOf = (result: Result<unknown, StoreError>) => (
  result.isErr() ? result.error.kind : 'ok'
);

const put = (key: string, revision: number, lease?: number) => ({
  expect: [{ key, revision }], puts: [{ key, value: 'v', lease }],
});

const setUp = (era?: number) => {
  const clock = createFakeClock();
  const memory = createMemoryLeasedStore(clock);
  if (era !== undefined) memory.setEra(era);
  const eras = createStoreEras(clock);
  const rises: string[] = [];
  eras.onRise((next, former) => rises.push(`${former}-${next}`));
  return {
    clock, memory, eras, rises, store: followEras(memory, eras),
  };
};

// Guards against another numbering, or another call, where the store names no era.
test('without eras revisions, leases and calls pass unchanged', async () => {
  const { memory, rises, store } = setUp();
  const lease = (await store.grantLease(1000))._unsafeUnwrap();
  assert.is(lease, 1);
  assert.is((await store.transact(put('a', 0, lease)))._unsafeUnwrap(), 2);
  assert.is((await store.get('a'))._unsafeUnwrap()?.revision, 2);
  assert.is((await store.renewLease(lease)).isOk(), true);
  assert.is(memory.calls(), 4);
  assert.equal(rises, []);
});

// Guards against a write whose condition names a revision that was issued again, and against the
// renewal of another node's lease that got the same number.
test('revisions and leases of an earlier era are not used in a later one', async () => {
  const { memory, rises, store } = setUp(1);
  const copy = memory.copy();
  const lease = (await store.grantLease(1000))._unsafeUnwrap();
  const former = (await store.transact(put('a', 0)))._unsafeUnwrap();
  memory.restore(copy);
  // Another node gets the same lease and the same revision.
  await memory.grantLease(1000);
  await memory.transact(put('a', 0));
  const found = (await store.get('a'))._unsafeUnwrap();
  assert.equal(rises, ['1-2']);
  assert.ok(found!.revision > former);
  assert.is(eraOfRevision(found!.revision), 2);
  assert.is(kindOf(await store.transact(put('a', former))), 'conflict');
  assert.is(kindOf(await store.renewLease(lease)), 'lease-ended');
  assert.is(kindOf(await store.transact(put('b', 0, lease))), 'lease-ended');
  assert.is(kindOf(await store.watch('a', former, { waitMs: 0 })), 'compacted');
  assert.is(kindOf(await store.transact(put('a', found!.revision))), 'ok');
});

// Guards against the belief that a write took effect, or that a watch missed nothing, when the
// store was restored between the call and its response.
test('a call that crosses a restore proves nothing, and its era is told first', async () => {
  const { memory, eras, store } = setUp(1);
  const { at } = (await store.list('a'))._unsafeUnwrap();
  memory.restore(memory.copy());
  let erasAtEnd = 0;
  const watch = store.watch('a', at, { waitMs: 0 }).then((result) => {
    erasAtEnd = eras.current();
    return result;
  });
  assert.is(kindOf(await watch), 'compacted');
  assert.is(erasAtEnd, 2);
  memory.restore(memory.copy());
  assert.is(kindOf(await store.transact(put('b', 0))), 'unknown');
});

// Guards against the use of a response that was on its way when the store was restored.
test('a late response of an earlier era is dropped', async () => {
  const { memory, eras } = setUp(1);
  const copy = memory.copy();
  let deliver: () => void = () => undefined;
  const late = followEras({
    ...memory,
    get: async (key, onEra) => {
      const found = await memory.get(key);
      await new Promise<void>((resolve) => {
        deliver = resolve;
      });
      onEra?.(1);
      return found;
    },
  }, eras);
  await memory.transact(put('a', 0));
  await late.list('a');
  const pending = late.get('a');
  await Promise.resolve();
  memory.restore(copy);
  await late.list('a');
  deliver();
  assert.is(kindOf(await pending), 'unknown');
});

test.run();
