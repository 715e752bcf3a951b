import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { buildTestProgram, type TestProgram } from './_test_program.ts';
import { runStopWay } from './_test_run_stop_way.ts';
import { besides, kinds } from './_test_stop_ways.ts';

const test = suite('ways to stop a host under load');

/** More seeds are run by hand: `npx tsx fleet/_test_stop_ways_main.ts --seed 1 --rounds 10`. */
const SEED = 1;

let program: TestProgram;

test.before(() => {
  program = buildTestProgram();
});
test.after(() => program.remove());

/** Findings of clients that ended their side of a connection to the next process, by hop. */
const halfClosedAtNext = new Map<string, string[]>();

const checkWay = async (hop: string, beside: string) => {
  const { answered, findings } = await runStopWay(hop, beside, { program, seed: SEED });
  const atNext = halfClosedAtNext.get(hop) ?? [];
  halfClosedAtNext.set(hop, atNext);
  const others: string[] = [];
  for (const { isHalfClosedAtNext, trace } of findings) {
    if (isHalfClosedAtNext) atNext.push(trace);
    else others.push(trace);
  }
  assert.is(others.length, 0, others.join('\n\n'));
  assert.equal([...answered].sort(), [...Object.keys(kinds), 'call'].sort());
};

/** Ways of these hops run at the same time. */
const hopsAtOnce = [['local', 'to a peer'], ['to a stopped peer']] as const;

// Guards against a host that reads a request around its SIGTERM, in the process that gets it or in
// the next one, and closes the connection without an answer, or refuses it although it runs.
for (const group of hopsAtOnce) {
  const ways = group.flatMap((hop) => Object.keys(besides).map((beside) => [hop, beside] as const));
  addConcurrentTests(test, Object.fromEntries(ways.map(([hop, beside]) => [
    `${hop}, beside ${beside}: what a process reads is answered, or refused as not run`,
    () => checkWay(hop, beside),
  ])));
}

// Guards against a process that does not know of the signal to the one before it, and gives up a
// request whose client has ended its side and waits for the answer.
for (const hop of hopsAtOnce.flat()) {
  test(`${hop}: the next process answers clients that end their side`, () => {
    const traces = halfClosedAtNext.get(hop)!;
    assert.is(traces.length, 0, `${traces.length} requests\n${traces.slice(0, 3).join('\n\n')}`);
  });
}

test.run();
