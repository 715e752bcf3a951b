import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createFakeInstance } from './_fake_instance.ts';
import { constantRate, generateLoad, type RequestResult } from './_load_generator.ts';
import { countFalseNotRun, countRepeatedSubmissions, p99LatencyMs } from './_load_statistics.ts';

const load = generateLoad(1, [{
  requestClass: 'submission', ...constantRate(100), meanServiceTimeMs: 10, deadlineMs: 100,
}], 1000);

const createResult = (index: number, outcome: RequestResult['outcome']): RequestResult => (
  { arrival: load[index]!, outcome, endedAt: load[index]!.arrivedAt + 20 }
);

test('counts a refusal as not run of a request that the instance started', async () => {
  // Guards against a count that misses it, which would confirm every refusal without checking it.
  const clock = createFakeClock();
  const instance = createFakeInstance(clock, { name: 'i', slots: 1 });
  const executions = (id: number) => instance.executions.get(id) ?? 0;
  const cancel = instance.execute(load[0]!.id, 10, () => undefined);
  instance.execute(load[1]!.id, 10, () => undefined)();
  cancel();
  const results = [
    createResult(0, 'not run'), createResult(1, 'not run'), createResult(2, 'not run'),
  ];
  assert.is(countFalseNotRun(results, executions), 1);
  assert.is(countRepeatedSubmissions(results, executions), 0);
  instance.execute(load[0]!.id, 10, () => undefined);
  assert.is(countRepeatedSubmissions(results, executions), 1);
});

test('returns null for a percentile that falls on requests without success', () => {
  // Leaving out refused requests would make a version look faster the more requests it refuses.
  const successes = load.slice(0, 50).map((_, index) => createResult(index, 'success'));
  assert.is(Math.round(p99LatencyMs(successes)!), 20);
  assert.is(p99LatencyMs([
    ...successes, createResult(50, 'not run'), createResult(51, 'unknown'),
  ]), null);
});

test.run();
