import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { HeapLoadReport } from './_test_heap_load.ts';

const test = suite('heap guard under load');

/** The limits of a deployed node. */
const RUNTIME_ARGUMENTS = ['--max-old-space-size=160', '--max-semi-space-size=4'];
const MAX_RUN_MS = 60_000;
const MIN_REQUESTS = 1000;
/** V8 leaves garbage of the old space uncollected up to about the threshold of the guard. */
const HALF_IN_USE = 0.55;

/** Runs a steady load in a process of its own, in which a fraction of the heap is in use. */
const runHeapLoad = async (fractionInUse: number): Promise<HeapLoadReport> => {
  const args = [
    ...RUNTIME_ARGUMENTS, '--import', 'tsx', 'telemetry/_test_heap_load.ts', String(fractionInUse),
  ];
  const { stdout } = await promisify(execFile)(process.execPath, args, { timeout: MAX_RUN_MS });
  return JSON.parse(stdout) as HeapLoadReport;
};

// Guards against a node that refuses requests between two collections, as garbage counts as used.
test('no request is refused while half of the heap is in use', async () => {
  const report = await runHeapLoad(HALF_IN_USE);
  assert.ok(report.requests > MIN_REQUESTS, JSON.stringify(report));
  assert.is(report.refused, 0, JSON.stringify(report));
});

test.run();
