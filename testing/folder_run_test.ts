import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { readFolderRun, runFolder } from './_folder_run.ts';

const test = suite('tests of a folder');

const never = new AbortController().signal;

const formatTotals = (total: number, passed: number) => (
  `\n  Total:     ${total}\n  Passed:    ${passed}\n  Skipped:   0\n`
);

test('the totals are read from the end of the output', () => {
  const output = `${formatTotals(1, 1)} • ✘ •${formatTotals(3, 2)}`;
  assert.equal(readFolderRun('http', output, 1), {
    folder: 'http', output, total: 3, passed: 2,
  });
});

// Guards against a run that passes although a process ended before its last test.
for (const [what, output, status] of [
  ['without totals', ' • •', 0],
  ['by a signal', ' • •', 'SIGABRT'],
  ['with an error after its totals', formatTotals(2, 2), 1],
] as const) {
  test(`a process that ends ${what} counts as a failed test`, () => {
    const { total, passed } = readFolderRun('http', output, status);
    assert.is(total - passed, 1);
  });
}

test('a folder runs in a process of its own', async () => {
  const { total, passed, output } = await runFolder('clock', 'fake_clock_test', never);
  assert.match(output, /fake_clock_test\.ts/u);
  assert.ok(total > 0);
  assert.is(passed, total);
});

test('a folder that does not end within the limit counts as a failed test', async () => {
  const { total, passed } = await runFolder('clock', 'fake_clock_test', AbortSignal.abort());
  assert.equal({ total, passed }, { total: 1, passed: 0 });
});

test.run();
