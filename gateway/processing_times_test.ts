import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createProcessingTimes } from './processing_times.ts';

const test = suite('processing times');

test('the recent work forgets a mix of requests that has ended', async () => {
  const clock = createFakeClock();
  const times = createProcessingTimes(clock);
  for (let count = 0; count < 100; count += 1) times.record('probe', 2);
  await clock.advance(30_000);
  for (let count = 0; count < 100; count += 1) times.record('lookup', 90);
  const work = new Map(times.recentWork().map((entry) => [entry.workClass, entry]));
  assert.ok(work.get('probe')!.runs < 2);
  assert.is(Math.round(work.get('lookup')!.totalMs / work.get('lookup')!.runs), 90);
  await clock.advance(60_000);
  assert.equal(times.recentWork(), []);
});

test.run();
