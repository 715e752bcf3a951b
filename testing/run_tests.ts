import { parse } from 'uvu/parse';
import { run } from 'uvu/run';

/** A test that hangs must not block the caller for longer than this. */
const RUN_TIMEOUT_MS = 15 * 60 * 1000;

const [directory = '.', pattern = '_test\\.ts$'] = process.argv.slice(2);

setTimeout(() => {
  console.error(`the tests did not end within ${RUN_TIMEOUT_MS} ms`);
  process.exit(1);
}, RUN_TIMEOUT_MS).unref();

const { suites } = await parse(directory, new RegExp(pattern, 'u'), { ignore: ['node_modules'] });
await run(suites);
// A failed test may leave servers open, which would keep the process from ending.
process.exit();
