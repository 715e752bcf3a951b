import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
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
