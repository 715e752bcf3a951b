import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from './mod.ts';

test('tasks run in order of time, then of creation', async () => {
  const clock = createFakeClock();
  const order: string[] = [];
  clock.schedule(20, () => order.push('late'));
  clock.schedule(10, () => order.push('first'));
  clock.schedule(10, () => order.push('second'));
  await clock.advance(15);
  assert.equal(order, ['first', 'second']);
  assert.is(clock.now(), 15);
});

test('a cancelled task does not run', async () => {
  const clock = createFakeClock();
  let runs = 0;
  const cancel = clock.schedule(5, () => {
    runs += 1;
  });
  cancel();
  await clock.advance(10);
  assert.is(runs, 0);
});

test('a sleep ends when its signal aborts and leaves no pending task', async () => {
  const clock = createFakeClock();
  const abort = new AbortController();
  const sleep = clock.sleep(1000, abort.signal);
  abort.abort();
  await sleep;
  assert.is(clock.pending(), 0);
});

test('consecutive sleeps in one advance end at their own times', async () => {
  const clock = createFakeClock();
  const wakeTimes: number[] = [];
  const run = async () => {
    await clock.sleep(10);
    wakeTimes.push(clock.now());
    await clock.sleep(10);
    wakeTimes.push(clock.now());
  };
  const done = run();
  await clock.advance(30);
  await done;
  assert.equal(wakeTimes, [10, 20]);
});

test.run();
