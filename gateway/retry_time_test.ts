import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRandom } from '../admission/_test_support.ts';
import { spreadRetryMs } from './_retry_time.ts';

const test = suite('retry time');

const CALLERS = 2000;
const BIN_MS = 50;
/** Largest factor that the caller listener applies to the time. */
const MAX_JITTER = 1.2;

// Guards against callers that were refused together and come back together: all of them were told
// 400 ms, so that 1200 requests fell into 100 ms and were refused again.
test('callers that are refused together return spread out, within what they wait', () => {
  const random = createRandom(4);
  const bins = new Map<number, number>();
  for (let caller = 0; caller < CALLERS; caller += 1) {
    const remainingMs = 2700 + random() * 500;
    const retryMs = spreadRetryMs(50_000 + remainingMs, 50_000);
    assert.ok(retryMs * MAX_JITTER <= remainingMs / 3, `${retryMs} of ${remainingMs}`);
    const bin = Math.floor(retryMs / BIN_MS);
    bins.set(bin, (bins.get(bin) ?? 0) + 1);
  }
  const fullest = Math.max(...bins.values()) / CALLERS;
  console.log('returns in the fullest 50 ms', fullest);
  // Evenly spread over 0.35 s, a seventh would fall into each 50 ms.
  assert.ok(fullest <= 2 / 7, `${fullest} in ${BIN_MS} ms`);
});

test('a caller without time is not told to return at once', () => {
  assert.ok(spreadRetryMs(1000, 1000) >= 50);
  assert.ok(spreadRetryMs(900, 1000) >= 50);
});

test.run();
