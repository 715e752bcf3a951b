import { err } from 'neverthrow';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import { createMemoryLeasedStore, type LeasedStore, abortStaleWatches } from './mod.ts';

const test = suite('abort of stale watches');

const setUp = () => {
  const clock = createFakeClock();
  const memory = createMemoryLeasedStore(clock);
  let silent = false;
  let watches = 0;
  /** A store behind a partition: watches sent meanwhile get no reply, even after it has healed. */
  const partitioned: LeasedStore = {
    ...memory,
    watch: (prefix, after, options) => {
      watches += 1;
      if (!silent) return memory.watch(prefix, after, options);
      return new Promise(() => {
        // Never settles.
      });
    },
  };
  return {
    clock,
    memory,
    store: abortStaleWatches(partitioned),
    setSilent: (value: boolean) => {
      silent = value;
    },
    watches: () => watches,
  };
};

test('a watch that was sent during a partition is aborted when another call succeeds', async () => {
  const { memory, store, setSilent } = setUp();
  setSilent(true);
  const watch = store.watch('op/', 1, { waitMs: 8000 });
  memory.faults.failWith = 'unknown';
  assert.is((await store.get('a')).isErr(), true);
  memory.faults.failWith = undefined;
  assert.is((await store.get('a')).isOk(), true);
  setSilent(false);
  assert.is((await watch)._unsafeUnwrapErr().kind, 'unavailable');
});

// A connection that had gone silent showed only at the timeout of the watch on it, although a watch
// on another connection had timed out before.
test('a watch is aborted when another one got no reply and a call succeeds', async () => {
  const clock = createFakeClock();
  const memory = createMemoryLeasedStore(clock);
  let isTimeout = false;
  const store = abortStaleWatches({
    ...memory,
    watch: async (prefix, after, options) => {
      if (prefix === 'open/') return memory.watch(prefix, after, options);
      return err(new StoreError('unknown', 'no reply', { step: 'test', isTimeout }));
    },
  });
  const open = store.watch('open/', 1, { waitMs: 8000 });
  let isOpen = true;
  open.then(() => {
    isOpen = false;
  });
  // A watch that the store ends early is no sign of a silent connection.
  assert.ok((await store.watch('cut/', 1, { waitMs: 0 })).isErr());
  await store.get('a');
  await clock.advance(100);
  assert.ok(isOpen);
  isTimeout = true;
  assert.ok((await store.watch('silent/', 1, { waitMs: 0 })).isErr());
  assert.ok(isOpen);
  await store.get('a');
  assert.is((await open)._unsafeUnwrapErr().kind, 'unavailable');
});

test('a watch stays open while other calls succeed or fail with a conflict', async () => {
  const { clock, store, watches } = setUp();
  let ended = false;
  store.watch('op/', 1, { waitMs: 8000 }).then(() => {
    ended = true;
  });
  await store.get('a');
  const conflict = await store.transact({ expect: [{ key: 'a', revision: 9 }], puts: [] });
  assert.is(conflict._unsafeUnwrapErr().kind, 'conflict');
  await store.get('a');
  await clock.advance(100);
  assert.is(ended, false);
  assert.is(watches(), 1);
});

test.run();
