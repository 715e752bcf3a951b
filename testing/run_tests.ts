import { availableParallelism } from 'node:os';
import { parse } from 'uvu/parse';
import { run } from 'uvu/run';
import { type FolderRun, runFolder } from './_folder_run.ts';

/** A test that hangs must not block the caller for longer than this. */
const RUN_TIMEOUT_MS = 15 * 60 * 1000;

/** Leaves cores to the processes that the tests start. */
const CORES_PER_FOLDER = 2;
/** Each folder more makes the tests that depend on time wait for the processor more often. */
const MAX_FOLDERS_AT_ONCE = 2;

const [directory, pattern = '_test\\.ts$'] = process.argv.slice(2);

const find = (folder: string) => (
  parse(folder, new RegExp(pattern, 'u'), { ignore: ['node_modules'] })
);

/** Returns the folders with tests, those with the most files first. */
const listFolders = async () => {
  const counts = new Map<string, number>();
  for (const { name } of (await find('.')).suites) {
    const [folder] = name.split('/');
    counts.set(folder!, (counts.get(folder!) ?? 0) + 1);
  }
  return [...counts].sort(([, left], [, right]) => right - left).map(([folder]) => folder);
};

/** Runs the tests of all folders, each in a process of its own, and prints their totals. */
const runAll = async () => {
  const folders = await listFolders();
  const runs: FolderRun[] = [];
  const startedAt = performance.now();
  const limit = AbortSignal.timeout(RUN_TIMEOUT_MS);
  limit.addEventListener('abort', () => {
    console.error(`the tests did not end within ${RUN_TIMEOUT_MS} ms`);
  });
  const runNext = async (): Promise<void> => {
    const folder = folders.shift();
    if (folder === undefined) return;
    const folderRun = await runFolder(folder, pattern, limit);
    runs.push(folderRun);
    console.log(folderRun.output);
    await runNext();
  };
  const atOnce = Math.floor(availableParallelism() / CORES_PER_FOLDER);
  await Promise.all(Array.from(
    { length: Math.min(MAX_FOLDERS_AT_ONCE, Math.max(1, atOnce)) },
    runNext,
  ));
  const total = runs.reduce((sum, folderRun) => sum + folderRun.total, 0);
  const passed = runs.reduce((sum, folderRun) => sum + folderRun.passed, 0);
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(0);
  console.log([
    'all folders', `  Total:     ${total}`, `  Passed:    ${passed}`, `  Duration:  ${seconds} s`,
  ].join('\n'));
  if (passed < total) process.exitCode = 1;
};

/** Runs the tests of a folder in this process. */
const runOne = async (folder: string) => {
  setTimeout(() => {
    console.error(`the tests did not end within ${RUN_TIMEOUT_MS} ms`);
    process.exit(1);
  }, RUN_TIMEOUT_MS).unref();
  await run((await find(folder)).suites);
};

if (directory === undefined) await runAll();
else await runOne(directory);
// A failed test may leave servers open, which would keep the process from ending.
process.exit();
