import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** The program as it is deployed, with the trace of its connections. */
export interface TestProgram {
  /** Arguments of Node.js itself. */
  readonly runtimeArguments: readonly string[];
  /** Arguments that run the program. */
  readonly programArguments: readonly string[];
  readonly remove: () => void;
}

const TRACE = 'fleet/_test_connection_trace.ts';

/** Builds the program of a node, which starts faster than its sources. */
export const buildTestProgram = (): TestProgram => {
  const target = mkdtempSync(join(tmpdir(), 'test-program-'));
  const [, runFlags = ''] = /^run = "node (.*) target\/marjoramhollow\.cjs"$/mu
    .exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  execFileSync(process.execPath, ['deploy/build.mjs', target], { stdio: 'inherit' });
  const trace = join(target, 'trace.cjs');
  const bundleTrace = `import { bundleScript } from './deploy/bundle.mjs';
    await bundleScript(${JSON.stringify(TRACE)}, ${JSON.stringify(trace)});`;
  execFileSync(process.execPath, ['--input-type=module', '--eval', bundleTrace]);
  return {
    runtimeArguments: runFlags.split(' '),
    programArguments: ['--require', trace, join(target, 'marjoramhollow.cjs')],
    remove: () => rmSync(target, { recursive: true }),
  };
};
