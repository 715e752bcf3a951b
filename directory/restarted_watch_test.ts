import { err } from 'neverthrow';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createStoreView } from './mod.ts';

const test = suite('restarted watches');

const setUp = () => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const waits: number[] = [];
  let waitMs = 25_000;
  let giveUp: () => void = () => undefined;
  const view = createStoreView({
    clock,
    store,
    prefix: 'p/',
    logger: noopLogger,
    waitMs: () => waitMs,
    watch: (prefix, after, wait) => {
      waits.push(wait.waitMs);
      const isGivenUp = new Promise<void>((resolve) => {
        giveUp = resolve;
      });
      return Promise.race([
        store.watch(prefix, after, wait),
        isGivenUp.then(() => err(new StoreError('unavailable', 'given up', {
          step: 'test', isGivenUp: true,
        }))),
      ]);
    },
  });
  const stopping = new AbortController();
  view.follow(stopping.signal);
  return {
    clock,
    view,
    waits,
    giveUp: () => giveUp(),
    setWaitMs: (value: number) => {
      waitMs = value;
    },
    stop: () => stopping.abort(),
  };
};

// A relay whose silent watch had been given up for a new one called itself cut off from the store,
// and all nodes that relied on it lost it for seconds.
test('a watch that is given up although the store answers leaves the view connected', async () => {
  const {
    clock, view, waits, giveUp, stop,
  } = setUp();
  await clock.advance(500);
  assert.ok(view.isConnected());
  giveUp();
  await clock.advance(0);
  assert.ok(view.isConnected());
  await clock.advance(200);
  assert.ok(view.isConnected());
  assert.is(waits.length, 2);
  stop();
});

test('a watch that is restarted waits as long as is right now', async () => {
  const {
    clock, view, waits, setWaitMs, stop,
  } = setUp();
  await clock.advance(500);
  setWaitMs(2000);
  view.restartWatch();
  await clock.advance(200);
  assert.equal(waits, [25_000, 2000]);
  assert.ok(view.isConnected());
  stop();
});

test.run();
