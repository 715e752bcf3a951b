import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createConcurrencyLimit } from './mod.ts';

const ANNOUNCED = 10;

const setUp = () => {
  const clock = createFakeClock();
  const limit = createConcurrencyLimit({ clock, announcedSlots: () => ANNOUNCED });
  /** Records a lookup every 10 ms, with the duration that `durationOf` returns. */
  const run = async (durationMs: number, durationOf: () => number) => {
    for (let elapsed = 0; elapsed < durationMs; elapsed += 10) {
      limit.recordSaturation();
      limit.recordSuccess({ requestClass: 'lookup', durationMs: durationOf() });
      await clock.advance(10);
    }
    return limit.current();
  };
  return { limit, run };
};

test('the limit shrinks under raised latency and recovers to a bounded excess', async () => {
  const { run } = setUp();
  assert.is(await run(500, () => 10), ANNOUNCED);
  assert.ok(await run(1000, () => 60) <= ANNOUNCED / 2);
  assert.ok(await run(5000, () => 10) >= ANNOUNCED);
  assert.is(await run(60_000, () => 10), ANNOUNCED * 1.2);
});

test('an instance that overstates its slots gets a limit near its capacity', async () => {
  const { limit, run } = setUp();
  const workers = 3;
  await run(500, () => 10);
  const limits: number[] = [];
  for (let round = 0; round < 40; round += 1) {
    limits.push(await run(300, () => (10 * Math.max(workers, limit.current())) / workers));
  }
  const mean = limits.slice(10).reduce((sum, value) => sum + value, 0) / 30;
  assert.ok(mean <= 2 * workers + 1, `mean limit ${mean}`);
});

test('stragglers among fast requests do not shrink the limit', async () => {
  const { run } = setUp();
  let count = 0;
  const durationOf = () => {
    count += 1;
    return count % 5 === 0 ? 300 : 10;
  };
  assert.ok(await run(10_000, durationOf) >= ANNOUNCED);
});

test('the limit recovers when latency is high regardless of concurrency', async () => {
  const { run } = setUp();
  await run(500, () => 10);
  assert.is(await run(3000, () => 60), 2);
  assert.ok(await run(60_000, () => 60) >= ANNOUNCED);
});

test('occasional timeouts leave the limit unchanged, consecutive timeouts shrink it', async () => {
  // Counting each timeout as overload let stragglers hold the limit at half of the slots at peak
  // load.
  const clock = createFakeClock();
  const limit = createConcurrencyLimit({ clock, announcedSlots: () => 9 });
  for (let index = 0; index < 1000; index += 1) {
    await clock.advance(10);
    if (index % 25 === 0) limit.recordTimeout();
    else limit.recordSuccess({ requestClass: 'lookup', durationMs: 10 });
    assert.ok(limit.current() >= 9, `limit ${limit.current()}`);
  }
  for (let index = 0; index < 10; index += 1) {
    await clock.advance(100);
    limit.recordTimeout();
  }
  assert.ok(limit.current() <= 4, `limit ${limit.current()}`);
});

test.run();
