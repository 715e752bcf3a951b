import { parseArgs } from 'node:util';
import { checkHistory, type Violation } from './check_history.ts';
import { describeFault, type Fault } from './_faults.ts';
import { type Simulation, runSimulation } from './run_simulation.ts';

const DEFAULT_RUNS = 20;
const DEFAULT_SEED = 1;
const EXPLORATION_LIMIT_MS = 300_000;
const SHRINK_LIMIT_MS = 60_000;

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: String(DEFAULT_RUNS) },
    seed: { type: 'string', default: String(DEFAULT_SEED) },
  },
});

const print = (line: string) => process.stdout.write(`${line}\n`);

const check = async (seed: number, schedule?: readonly Fault[]) => {
  const run = await runSimulation({ seed, schedule });
  return { run, violations: checkHistory(run.history) };
};

/** Removes faults one at a time as long as the run still violates one of the same rules. */
const shrinkSchedule = async (seed: number, run: Simulation, violations: readonly Violation[]) => {
  const rules = new Set(violations.map(({ rule }) => rule));
  const untilMs = performance.now() + SHRINK_LIMIT_MS;
  let { schedule } = run;
  for (let index = schedule.length - 1; index >= 0; index -= 1) {
    if (performance.now() > untilMs) break;
    const smaller = schedule.filter((_, position) => position !== index);
    const outcome = await check(seed, smaller);
    if (outcome.violations.some(({ rule }) => rules.has(rule))) schedule = smaller;
  }
  return schedule;
};

const explore = async (firstSeed: number, runs: number): Promise<number> => {
  const untilMs = performance.now() + EXPLORATION_LIMIT_MS;
  let failed = 0;
  let done = 0;
  for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
    if (performance.now() > untilMs) break;
    const { run, violations } = await check(seed);
    done += 1;
    for (const { rule, at, detail } of violations) {
      print(`seed ${seed}, ${Math.round(at)} ms: ${rule}: ${detail}`);
    }
    if (violations.length === 0) continue;
    failed += 1;
    if (failed > 1) continue;
    const schedule = await shrinkSchedule(seed, run, violations);
    print(`smallest failing schedule found for seed ${seed}, ${run.nodes.length} nodes:`);
    for (const fault of schedule) print(`  ${describeFault(fault)}`);
    if (schedule.length === 0) print('  no faults');
  }
  if (done < runs) print(`stopped at the time limit of ${EXPLORATION_LIMIT_MS / 1000} s`);
  print(`${done} of ${runs} runs done, ${failed} with violations`);
  return failed;
};

const seed = Number(values.seed);
const runs = Number(values.runs);
if (!Number.isInteger(seed) || !Number.isInteger(runs) || runs < 1) {
  process.stderr.write('--seed and --runs must be whole numbers, --runs at least 1\n');
  process.exitCode = 2;
} else if (await explore(seed, runs) > 0) process.exitCode = 1;
