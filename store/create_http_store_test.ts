import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { startEndlessServer, withMemoryGrowth } from '../testing/endless_server.ts';
import { createHttpStore, type HttpStore } from './mod.ts';

const test = suite('http store');

/** Above the timeout of a call, and far below that of the watch. */
const TIME_LIMIT_MS = 3000;
const MAX_MEMORY_GROWTH = 400_000_000;

const calls: Readonly<Record<string, (store: HttpStore) => Promise<string>>> = {
  read: async (store) => (await store.get('a')).match(() => 'ok', ({ kind }) => kind),
  write: async (store) => (
    (await store.compareAndSwap('a', 0, 'v')).match(() => 'ok', ({ kind }) => kind)
  ),
  watch: async (store) => (await store.watch('a', 1)).match(() => 'ok', ({ kind }) => kind),
};

// Guards against a store whose answer has no end and fills the memory of every node.
for (const [name, call] of Object.entries(calls)) {
  test(`a ${name} ends when its answer does not, and little of it is kept`, async () => {
    const server = await startEndlessServer();
    const store = createHttpStore({ clock: createSystemClock(), url: `http://${server.address}` });
    const { result, growth } = await withMemoryGrowth(() => Promise.race([
      call(store), sleep(TIME_LIMIT_MS, 'going on', { ref: false }),
    ]));
    await sleep(100);
    const openConnections = server.openConnections();
    server.close();
    await store.close();
    assert.is(result, name === 'write' ? 'unknown' : 'unavailable');
    assert.ok(growth < MAX_MEMORY_GROWTH, `the memory grew by ${growth} bytes`);
    assert.is(openConnections, 0);
  });
}

test.run();
