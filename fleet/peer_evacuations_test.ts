import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { askPeersOnFailure } from './peer_evacuations.ts';

const test = suite('evacuations that peers tell');

const OUTAGE_MS = 10_000;
const RETRY_MS = 200;

// In an outage of the store, all nodes of the fleet ask at once, and nobody has an answer.
test('a node asks one peer a second, another one each time, while its watch fails', async () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const asked: string[] = [];
  const noted: unknown[] = [];
  const watch = askPeersOnFailure(store.watch, {
    clock,
    peers: () => ['a', 'b', 'c'],
    fetchChanges: async (address) => {
      asked.push(address);
      if (address === 'a') throw new Error('no answer');
      if (address === 'b') return undefined;
      return {
        at: 9, events: [], contractRevision: 7, evacuated: ['d0'],
      };
    },
    noteRelayed: (...state) => {
      noted.push(state);
    },
    logger: noopLogger,
  });
  const watchFor = async (durationMs: number) => {
    for (let passed = 0; passed < durationMs; passed += RETRY_MS) {
      await watch('op/', 0, { waitMs: 0 });
      await clock.advance(RETRY_MS);
    }
  };
  await watchFor(1000);
  assert.equal(asked, []);
  store.faults.failWith = 'unavailable';
  await watchFor(OUTAGE_MS);
  assert.is(asked.length, OUTAGE_MS / 1000);
  assert.equal(asked.slice(0, 4), ['a', 'b', 'c', 'a']);
  assert.equal(noted[0], [7, ['d0'], true]);
  assert.is(noted.length, 3);
  // A full read follows, which the store answers itself.
  const before = asked.length;
  store.faults.failWith = 'compacted';
  await watchFor(2000);
  assert.is(asked.length, before);
});

test.run();
