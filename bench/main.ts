import { parseArgs } from 'node:util';
import { benches } from './_benches.ts';
import { formatRows } from './_format.ts';

const DEFAULT_SEED = 1;
const EXIT_USAGE = 2;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seed: { type: 'string', default: String(DEFAULT_SEED) },
    json: { type: 'boolean', default: false },
  },
});

const [benchName = ''] = positionals;
const loadBench = benches[benchName];
const seed = Number(values.seed);

if (loadBench === undefined || !Number.isInteger(seed)) {
  console.error(`Usage: npm run --silent bench -- NAME [--seed N] [--json]
Names: ${Object.keys(benches).join(', ')}`);
  process.exit(EXIT_USAGE);
}

const runBench = await loadBench();
const rows = await runBench({ seed });
if (values.json) for (const row of rows) console.log(JSON.stringify(row));
else console.log(formatRows(rows));
process.exit(0);
