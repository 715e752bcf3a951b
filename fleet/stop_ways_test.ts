import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { buildTestProgram, type TestProgram } from './_test_program.ts';
import { runStopWay } from './_test_run_stop_way.ts';
import { besides, hops, kinds } from './_test_stop_ways.ts';

const test = suite('ways to stop a host under load');

/** More seeds are run by hand: `npx tsx fleet/_test_stop_ways_main.ts --seed 1 --rounds 10`. */
const SEED = 1;

let program: TestProgram;

test.before(() => {
  program = buildTestProgram();
});
test.after(() => program.remove());

/** What the ways of a hop have left for the tests of the hop. */
const perHop = new Map(Object.keys(hops).map((hop) => [hop, {
  answeredKinds: new Set<string>(), halfClosedAtNext: new Array<string>(),
}]));

const checkWay = async (hop: string, beside: string) => {
  const { answered, findings } = await runStopWay(hop, beside, { program, seed: SEED });
  const { answeredKinds, halfClosedAtNext } = perHop.get(hop)!;
  for (const kind of answered) answeredKinds.add(kind);
  const others: string[] = [];
  for (const { isHalfClosedAtNext, trace } of findings) {
    if (isHalfClosedAtNext) halfClosedAtNext.push(trace);
    else others.push(trace);
  }
  assert.is(others.length, 0, others.join('\n\n'));
  assert.ok(answered.size > 0);
};

for (const hop of Object.keys(hops)) {
  // Guards against a host that reads a request around its SIGTERM, in the process that gets it or
  // in the next one, and closes the connection without an answer, or refuses it although it runs.
  addConcurrentTests(test, Object.fromEntries(Object.keys(besides).map((beside) => [
    `${hop}, beside ${beside}: what a process reads is answered, or refused as not run`,
    () => checkWay(hop, beside),
  ])));

  // Guards against a process that does not know of the signal to the one before it, and gives up a
  // request whose client has ended its side and waits for the answer.
  test(`${hop}: the next process answers clients that end their side`, () => {
    const { halfClosedAtNext: traces } = perHop.get(hop)!;
    assert.is(traces.length, 0, `${traces.length} requests\n${traces.slice(0, 3).join('\n\n')}`);
  });

  test(`${hop}: requests of each kind, and calls of runs, are answered`, () => {
    const { answeredKinds } = perHop.get(hop)!;
    assert.equal([...answeredKinds].sort(), [...Object.keys(kinds), 'call'].sort());
  });
}

test.run();
