import type { Result } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { StoreError } from '../errors/mod.ts';
import { createHttpStore, type HttpStore } from '../store/mod.ts';
import { startStoreServer, type StoreServer } from './mod.ts';

const errorKindOf = (outcome: Result<unknown, StoreError>) => (
  outcome.isErr() ? outcome.error.kind : 'ok'
);

const clock = createSystemClock();

const withServer = async (
  run: (server: StoreServer, store: HttpStore) => Promise<void>,
  callTimeoutMs?: number,
) => {
  const server = await startStoreServer({ clock, credential: 'c' });
  const store = createHttpStore({
    clock, url: server.url, credential: 'c', callTimeoutMs, watchWaitMs: 100,
  });
  try {
    await run(server, store);
  } finally {
    await store.close();
    await server.close();
  }
};

test('a write with an outdated revision is a conflict and changes nothing', () => (
  withServer(async (_server, store) => {
    const first = (await store.compareAndSwap('a/1', 0, 'é "quoted"')).unwrapOr(0);
    assert.is(errorKindOf(await store.compareAndSwap('a/1', 0, 'other')), 'conflict');
    const entry = { key: 'a/1', revision: first, value: 'é "quoted"' };
    assert.equal((await store.get('a/1')).unwrapOr(undefined), entry);
    assert.equal((await store.list('a/')).unwrapOr([]), [entry]);
    assert.is((await store.get('a/2')).unwrapOr(entry), undefined);
  })
));

test('a write whose reply is lost has an unknown outcome, although it took effect', () => (
  withServer(async (server, store) => {
    server.store.loseReplies(1);
    assert.is(errorKindOf(await store.compareAndSwap('a', 0, 'v')), 'unknown');
    assert.is((await store.get('a')).unwrapOr(undefined)?.value, 'v');
  })
));

test('when a slow store times out, a read is unavailable and a write is unknown', () => (
  withServer(async (server, store) => {
    server.store.setDelay(600);
    const [read, write] = await Promise.all([store.get('a'), store.compareAndSwap('a', 0, 'v')]);
    assert.is(errorKindOf(read), 'unavailable');
    assert.is(errorKindOf(write), 'unknown');
  }, 300)
));

test('a store that is down, closed or refuses the credential is unavailable, never unknown', () => (
  withServer(async (server, store) => {
    server.store.setDown(true);
    assert.is(errorKindOf(await store.compareAndSwap('a', 0, 'v')), 'unavailable');
    const unauthorized = createHttpStore({ clock, url: server.url, credential: 'wrong' });
    assert.is(errorKindOf(await unauthorized.compareAndSwap('a', 0, 'v')), 'unavailable');
    await unauthorized.close();
    await server.close();
    assert.is(errorKindOf(await store.compareAndSwap('a', 0, 'v')), 'unavailable');
  })
));

test('a value of 1 MiB is accepted and a larger one is refused', () => (
  withServer(async (_server, store) => {
    const value = 'x'.repeat(1024 * 1024);
    assert.ok((await store.compareAndSwap('a', 0, value)).isOk());
    assert.is((await store.get('a')).unwrapOr(undefined)?.value.length, value.length);
    const larger = await store.compareAndSwap('b', 0, `${value}x`);
    assert.is(errorKindOf(larger), 'too-large');
  })
));

test('a watch spans several polls, returns a matching write, and ends when aborted', () => (
  withServer(async (_server, store) => {
    const watch = store.watch('a/', 0);
    await clock.sleep(250);
    await store.compareAndSwap('b', 0, 'other');
    await store.compareAndSwap('a/1', 0, 'v');
    assert.equal((await watch).unwrapOr([]).map(({ key }) => key), ['a/1']);
    const abort = new AbortController();
    const aborted = store.watch('c/', 0, { signal: abort.signal });
    abort.abort();
    assert.equal((await aborted).unwrapOr(undefined), []);
  })
));

/** Writes `a/1` while it is watched; a failed write ends the watch, which would wait for it. */
const writeWhileWatched = async (store: HttpStore, afterRevision: number, expected?: number) => {
  const abort = new AbortController();
  const watch = store.watch('a/', afterRevision, { signal: abort.signal });
  const write = await store.compareAndSwap('a/1', expected ?? afterRevision, 'v');
  if (write.isErr()) abort.abort();
  return { write: errorKindOf(write), watched: (await watch).unwrapOr([]) };
};

// Guards against a test run that hangs because a failed write leaves the watch for it waiting.
test('a failed write ends the watch that waits for it', () => (
  withServer(async (_server, store) => {
    assert.is((await writeWhileWatched(store, 0)).write, 'ok');
    const { write, watched } = await writeWhileWatched(store, 1, 0);
    assert.is(write, 'conflict');
    assert.equal(watched, []);
  })
));

test('successive watches on one connection leak no event listeners', async () => {
  const warnings: string[] = [];
  const onWarning = ({ message }: Error) => warnings.push(message);
  process.on('warning', onWarning);
  await withServer(async (_server, store) => {
    for (let count = 0; count < 40; count += 1) {
      const { write, watched } = await writeWhileWatched(store, count);
      assert.is(write, 'ok');
      assert.is(watched.length, 1);
    }
  });
  process.off('warning', onWarning);
  assert.equal(warnings, []);
});

test.run();
