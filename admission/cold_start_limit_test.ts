import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createRandom } from './_test_support.ts';
import { createColdStartLimit } from './mod.ts';

const test = suite('cold start limit');

/** 7.7 x 1.5 + 8, rounded down. */
const MAX_PER_SECOND = 19;
const SECOND_MS = 1000;
const MAX_JITTER_MS = 50;
const LOAD_MS = 20_000;

const setUp = (state = { isCold: true }) => {
  const clock = createFakeClock();
  const options = { clock, isCold: () => state.isCold, maxPerSecond: () => MAX_PER_SECOND };
  const limit = createColdStartLimit(options);
  // A new limit counts as used up.
  clock.jump(2 * SECOND_MS);
  const sendAtOnce = (count: number) => Array.from({ length: count }, () => limit.reserve(false))
    .filter((permit) => permit.map(({ markSent }) => markSent()).isOk()).length;
  return {
    clock, limit, options, sendAtOnce,
  };
};

/** Returns the largest number of times within any second. */
const maxInAnySecond = (times: readonly number[]) => Math.max(...times.map((from) => (
  times.filter((at) => at >= from && at < from + SECOND_MS).length
)));

/** Offers requests for 20 s; a quarter are nested calls, and connections take time to open. */
const runLoad = async (perSecond: number) => {
  const { clock, limit } = setUp();
  const random = createRandom(7);
  const arrivals: number[] = [];
  const nested = { offered: 0, sent: 0 };
  const ordinary = { offered: 0, sent: 0 };
  for (const endsAt = clock.now() + LOAD_MS; clock.now() < endsAt;) {
    await clock.advance((-Math.log(1 - random()) * SECOND_MS) / perSecond);
    const isNested = random() < 0.25;
    const count = isNested ? nested : ordinary;
    count.offered += 1;
    if (limit.refuseEarly(isNested, 0) !== undefined) continue;
    limit.reserve(isNested).map(({ markSent, release }) => (
      clock.schedule(random() < 0.1 ? random() * 300 : 0, () => {
        markSent();
        release();
        count.sent += 1;
        arrivals.push(clock.now() + random() * MAX_JITTER_MS);
      })
    ));
  }
  const [nestedPart, ordinaryPart] = [nested, ordinary].map(({ sent, offered }) => sent / offered);
  return { arrivals, nested: nestedPart!, ordinary: ordinaryPart! };
};

// Guards against the crash of a cold instance, against one that is hardly used, and against runs
// that end in vain because ordinary requests have taken all the room.
test('a cold instance gets nearly what it can take but no more, nested calls first', async () => {
  for (const perSecond of [15, 40, 200]) {
    const { arrivals, nested, ordinary } = await runLoad(perSecond);
    const expected = Math.min(perSecond, MAX_PER_SECOND) * (LOAD_MS / SECOND_MS);
    const seen = `${arrivals.length} of ${expected} at ${perSecond}: ${nested}, ${ordinary}`;
    assert.ok(maxInAnySecond(arrivals) <= MAX_PER_SECOND, seen);
    assert.ok(arrivals.length > expected * 0.8, seen);
    assert.ok(nested >= ordinary, seen);
    if (perSecond === 40) assert.ok(nested > 0.6 && ordinary > 0.2, seen);
  }
});

// Guards against a burst of requests whose connections open late, all at the same moment.
test('requests that wait for a connection take room until they are written', async () => {
  const { clock, limit } = setUp();
  const permits = Array.from({ length: MAX_PER_SECOND }, () => limit.reserve(false));
  await clock.advance(5 * SECOND_MS);
  assert.ok(limit.reserve(false).isErr());
  for (const permit of permits) permit._unsafeUnwrap().markSent();
  await clock.advance(SECOND_MS);
  assert.ok(limit.reserve(false).isErr());
  await clock.advance(200);
  const unsent = limit.reserve(false)._unsafeUnwrap();
  assert.ok(limit.refuseEarly(false, MAX_PER_SECOND - 1) !== undefined);
  unsent.release();
  assert.is(limit.refuseEarly(false, MAX_PER_SECOND - 1), undefined);
});

// Guards against twice the bound at a restart of the node, or just after the instance turned cold.
test('requests sent before the instance was known to be cold count, and the rate is capped', () => {
  const state = { isCold: false };
  const {
    clock, limit, options, sendAtOnce,
  } = setUp(state);
  assert.is(sendAtOnce(60), 60);
  assert.is(limit.capRate(60), 60);
  state.isCold = true;
  assert.is(sendAtOnce(5), 0);
  assert.equal([60, 5, 0].map(limit.capRate), [17, 5, 17]);
  clock.jump(1.2 * SECOND_MS);
  assert.is(sendAtOnce(60), MAX_PER_SECOND);
  assert.ok(createColdStartLimit(options).reserve(true).isErr());
});

// Guards against callers that all return at the moment at which room comes free.
test('refused callers return spread over the room that comes free', () => {
  const { clock, limit, sendAtOnce } = setUp();
  sendAtOnce(MAX_PER_SECOND);
  clock.jump(900);
  const returns = Array.from({ length: 9 }, () => limit.refuseEarly(false, 0)!);
  const gaps = returns.slice(1).map((at, index) => at - returns[index]!);
  assert.ok(returns[0]! >= 200 && returns.at(-1)! <= 700, `${returns}`);
  assert.ok(gaps.every((gap) => gap > SECOND_MS / MAX_PER_SECOND), `${returns}`);
});

test.run();
