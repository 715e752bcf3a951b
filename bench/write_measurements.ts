import { spawnSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import type { BenchRow } from './bench.ts';
import { benches } from './_benches.ts';
import { formatRows } from './_format.ts';

const OUTPUT_FILE = 'docs/measurements.md';
const SEED = 1;
const BENCH_TIMEOUT_MS = 60_000;

const runBench = (name: string): string => {
  const child = spawnSync(
    process.execPath,
    ['--import', 'tsx', 'bench/main.ts', name, '--seed', String(SEED), '--json'],
    { encoding: 'utf8', timeout: BENCH_TIMEOUT_MS },
  );
  if (child.status !== 0) return `The run failed: ${child.stderr.trim().split('\n').at(-1) ?? ''}`;
  const rows = child.stdout.split('\n')
    .filter((line) => line.startsWith('{'))
    .map((line) => JSON.parse(line) as BenchRow);
  return formatRows(rows);
};

const sections = Object.keys(benches).map((name) => (
  `## ${name}\n\n\`npm run --silent bench -- ${name} --seed ${SEED}\`\n\n${runBench(name)}\n`
));

writeFileSync(OUTPUT_FILE, `# Measurements

Written by \`npm run measure\`. One run each with seed ${SEED} on a machine with
${availableParallelism()} cores, Node.js ${process.version}. A missed target is reported as missed.

${sections.join('\n')}`);
