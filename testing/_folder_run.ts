import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** The outcome of the tests of a folder. */
export interface FolderRun {
  readonly folder: string;
  /** What the tests wrote to standard output and standard error. */
  readonly output: string;
  /** Number of tests; a process that ends without its totals counts as one failed test. */
  readonly total: number;
  readonly passed: number;
}

/** Returns the last number after a label of the totals. */
const readTotal = (output: string, label: string): number | undefined => {
  const numbers = [...output.matchAll(new RegExp(`^\\s*${label}:\\s+(\\d+)`, 'gmu'))];
  const last = numbers.at(-1)?.[1];
  return last === undefined ? undefined : Number(last);
};

/**
 * Reads the totals that the tests of a folder printed at their end.
 *
 * @param status The exit status of the process; it is nonzero if a test failed.
 */
export const readFolderRun = (
  folder: string,
  output: string,
  status: number | string,
): FolderRun => {
  const total = readTotal(output, 'Total');
  const passed = readTotal(output, 'Passed');
  if (total !== undefined && passed !== undefined && (status === 0 || passed < total)) {
    return {
      folder, output, total, passed,
    };
  }
  const line = `the tests of ${folder} ended with ${status}, not by their totals\n`;
  return {
    folder, output: `${output}\n${line}`, total: (total ?? 0) + 1, passed: passed ?? 0,
  };
};

/**
 * Runs the tests of a folder in a process of their own.
 *
 * @param pattern Pattern of the names of the test files.
 * @param limit Ends the process, which then counts as a failed test.
 */
export const runFolder = (
  folder: string,
  pattern: string,
  limit: AbortSignal,
): Promise<FolderRun> => {
  const program = fileURLToPath(new URL('./run_tests.ts', import.meta.url));
  const child = spawn(process.execPath, [...process.execArgv, program, folder, pattern], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const kill = () => child.kill('SIGKILL');
  if (limit.aborted) kill();
  limit.addEventListener('abort', kill);
  let output = '';
  const collect = (text: string) => {
    output += text;
  };
  child.stdout.setEncoding('utf8').on('data', collect);
  child.stderr.setEncoding('utf8').on('data', collect);
  return new Promise((resolve, reject) => {
    child.on('error', reject);
    child.on('close', (status, signal) => {
      limit.removeEventListener('abort', kill);
      resolve(readFolderRun(folder, output, status ?? String(signal)));
    });
  });
};
