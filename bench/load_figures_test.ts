import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createFakeInstance } from './_fake_instance.ts';
import { type Answer, generateLoad, steady } from './_load_arrivals.ts';
import { countFalseNotRun, countRepeatedSubmissions, p99 } from './_load_figures.ts';

const load = generateLoad(1, [{
  requestClass: 'submission', ...steady(100), meanMs: 10, deadlineMs: 100,
}], 1000);

const answer = (index: number, outcome: Answer['outcome']): Answer => (
  { arrival: load[index]!, outcome, endedAt: load[index]!.at + 20 }
);

test('a refusal as not run of a request that the instance started is counted', async () => {
  // A count that misses it would report the truth of refusals without a check.
  const clock = createFakeClock();
  const instance = createFakeInstance(clock, { name: 'i', slots: 1 });
  const executions = (id: number) => instance.executions.get(id) ?? 0;
  const cancel = instance.execute(load[0]!.id, 10, () => undefined);
  instance.execute(load[1]!.id, 10, () => undefined)();
  cancel();
  const answers = [answer(0, 'not run'), answer(1, 'not run'), answer(2, 'not run')];
  assert.is(countFalseNotRun(answers, executions), 1);
  assert.is(countRepeatedSubmissions(answers, executions), 0);
  instance.execute(load[0]!.id, 10, () => undefined);
  assert.is(countRepeatedSubmissions(answers, executions), 1);
});

test('a percentile that falls on requests without an answer is no figure', () => {
  // Refused requests that are left out would make a version look faster the more it refuses.
  const good = load.slice(0, 50).map((_, index) => answer(index, 'success'));
  assert.is(Math.round(p99(good)!), 20);
  assert.is(p99([...good, answer(50, 'not run'), answer(51, 'unknown')]), null);
});

test.run();
