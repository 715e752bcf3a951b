import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock, createPausableClock } from './mod.ts';

test('tasks that become due during a pause run on resume', async () => {
  const base = createFakeClock();
  const clock = createPausableClock(base);
  const runTimes: number[] = [];
  clock.schedule(10, () => runTimes.push(clock.now()));
  clock.pause();
  await base.advance(50);
  assert.equal(runTimes, []);
  clock.resume();
  assert.equal(runTimes, [50]);
});

test('a task that is cancelled while due in a paused process does not run', async () => {
  const base = createFakeClock();
  const clock = createPausableClock(base);
  let runs = 0;
  const cancel = clock.schedule(10, () => {
    runs += 1;
  });
  clock.pause();
  await base.advance(20);
  cancel();
  clock.resume();
  assert.is(runs, 0);
});

test.run();
