import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { type Logger, noopLogger } from '../telemetry/mod.ts';
import { createStoreCallSummary } from './store_call_summary.ts';

const test = suite('store call summary');

test('the calls of each period are logged by operation and outcome', async () => {
  const clock = createFakeClock();
  const lines: unknown[] = [];
  const logger: Logger = { ...noopLogger, info: (fields) => lines.push(fields) };
  const summary = createStoreCallSummary(clock, logger);
  summary.record('watch', 'ok');
  summary.record('watch', 'ok');
  summary.record('transact', 'conflict');
  await clock.advance(10_000);
  assert.equal(lines, [{ periodMs: 10_000, counts: { 'watch ok': 2, 'transact conflict': 1 } }]);
  await clock.advance(10_000);
  assert.is(lines.length, 1);
  summary.record('get', 'ok');
  summary.stop();
  assert.equal(lines[1], { periodMs: 0, counts: { 'get ok': 1 } });
  await clock.advance(20_000);
  assert.is(lines.length, 2);
});

test.run();
