import { parseArgs } from 'node:util';
import { runRound } from './_run_round.ts';

const { values } = parseArgs({
  options: {
    rounds: { type: 'string', default: '50' },
    seed: { type: 'string', default: '1' },
    series: { type: 'string', default: '2' },
    'suspended-ms': { type: 'string', default: '50' },
    minutes: { type: 'string', default: '15' },
  },
});

const MS_PER_MINUTE = 60_000;
const options = {
  series: Number(values.series), suspendedMs: Number(values['suspended-ms']),
};
const print = (line: string) => process.stdout.write(`${line}\n`);

/** Runs rounds with successive seeds until all are done or the time has passed. */
const run = async (firstSeed: number, rounds: number, limitMs: number) => {
  const totals = new Map<string, number>();
  let done = 0;
  let findingCount = 0;
  const endsAt = performance.now() + limitMs;
  for (let seed = firstSeed; seed < firstSeed + rounds && performance.now() < endsAt; seed += 1) {
    try {
      const {
        plan, counts, openEnds, findings,
      } = await runRound(seed, options);
      done += 1;
      findingCount += findings.length;
      for (const [name, count] of [...Object.entries(counts), ...openEnds]) {
        totals.set(name, (totals.get(name) ?? 0) + count);
      }
      print(JSON.stringify({ seed, counts, findings: findings.length }));
      if (findings.length > 0) print(`  ${JSON.stringify(plan)}`);
      for (const { what, trace } of findings) {
        print(`  ${what}`);
        for (const line of trace) print(`    ${line}`);
      }
    } catch (error) {
      print(`seed ${seed}: the round did not finish: ${String(error)}`);
    }
  }
  print(JSON.stringify({ done, findings: findingCount, totals: Object.fromEntries(totals) }));
  return findingCount;
};

const found = await run(
  Number(values.seed),
  Number(values.rounds),
  Number(values.minutes) * MS_PER_MINUTE,
);
process.exit(found > 0 ? 1 : 0);
