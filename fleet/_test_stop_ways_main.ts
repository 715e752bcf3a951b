import { parseArgs } from 'node:util';
import { buildTestProgram } from './_test_program.ts';
import { runStopWay } from './_test_run_stop_way.ts';
import { besides, hops } from './_test_stop_ways.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    rounds: { type: 'string', default: '1' },
    hop: { type: 'string' },
    beside: { type: 'string' },
  },
});

const print = (line: string) => process.stdout.write(`${line}\n`);
const totals = new Map<string, Map<string, number>>();
const program = buildTestProgram();
let findingCount = 0;

const runOne = async (hop: string, beside: string, seed: number) => {
  const name = `${hop}, beside ${beside}`;
  try {
    const { counts, findings } = await runStopWay(hop, beside, { program, seed });
    findingCount += findings.length;
    const total = totals.get(name) ?? new Map<string, number>();
    totals.set(name, total);
    for (const [outcome, count] of counts) total.set(outcome, (total.get(outcome) ?? 0) + count);
    for (const { trace } of findings) print(`${trace}\n`);
  } catch (error) {
    findingCount += 1;
    print(`seed ${seed}, ${name}: did not finish: ${String(error)}`);
  }
};

const firstSeed = Number(values.seed);
for (let seed = firstSeed; seed < firstSeed + Number(values.rounds); seed += 1) {
  for (const hop of Object.keys(hops)) {
    if (values.hop !== undefined && values.hop !== hop) continue;
    const names = Object.keys(besides).filter((name) => (
      values.beside === undefined || values.beside === name
    ));
    await Promise.all(names.map((beside) => runOne(hop, beside, seed)));
  }
}
for (const [name, counts] of totals) {
  print(`${name}: ${JSON.stringify(Object.fromEntries(counts))}`);
}
print(`findings: ${findingCount}`);
program.remove();
process.exit(findingCount > 0 ? 1 : 0);
