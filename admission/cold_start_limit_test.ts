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
  const limit = createColdStartLimit({
    clock, isCold: () => state.isCold, maxPerSecond: () => MAX_PER_SECOND,
  });
  // A new limit counts as used up.
  clock.jump(2 * SECOND_MS);
  const sendAtOnce = (count: number, isNested = false) => {
    let sent = 0;
    for (let index = 0; index < count; index += 1) {
      const permit = limit.reserve(isNested);
      if (permit.isErr()) continue;
      permit.value.markSent();
      sent += 1;
    }
    return sent;
  };
  return { clock, limit, sendAtOnce };
};

/** Returns the largest number of times within any second. */
const maxInAnySecond = (times: readonly number[]) => {
  const sorted = [...times].sort((left, right) => left - right);
  let first = 0;
  let most = 0;
  for (const [last, at] of sorted.entries()) {
    while (at - sorted[first]! >= SECOND_MS) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most;
};

/** Offers requests for 20 s; a quarter are nested calls, and connections take time to open. */
const runLoad = async (perSecond: number) => {
  const { clock, limit } = setUp();
  const random = createRandom(7);
  const arrivals: number[] = [];
  const counts = { nested: { offered: 0, sent: 0 }, ordinary: { offered: 0, sent: 0 } };
  const startedAt = clock.now();
  while (clock.now() < startedAt + LOAD_MS) {
    await clock.advance((-Math.log(1 - random()) * SECOND_MS) / perSecond);
    const isNested = random() < 0.25;
    const count = isNested ? counts.nested : counts.ordinary;
    count.offered += 1;
    if (limit.refuseEarly(isNested, 0) !== undefined) continue;
    const permit = limit.reserve(isNested);
    if (permit.isErr()) continue;
    clock.schedule(random() < 0.1 ? random() * 300 : 0, () => {
      permit.value.markSent();
      permit.value.release();
      count.sent += 1;
      arrivals.push(clock.now() + random() * MAX_JITTER_MS);
    });
  }
  return { arrivals, counts };
};

// Guards against the crash of a cold instance, and against one that is hardly used at all.
test('a cold instance gets nearly as many requests as it can take, but no more', async () => {
  for (const perSecond of [15, 40, 200]) {
    const { arrivals, counts: { nested, ordinary } } = await runLoad(perSecond);
    const most = maxInAnySecond(arrivals);
    assert.ok(most <= MAX_PER_SECOND, `${most} in a second at ${perSecond} a second`);
    const expected = Math.min(perSecond, MAX_PER_SECOND) * (LOAD_MS / SECOND_MS);
    const seen = `${arrivals.length} of ${expected} sent at ${perSecond} a second`;
    assert.ok(arrivals.length > expected * 0.8, seen);
    assert.ok(nested.sent / nested.offered >= ordinary.sent / ordinary.offered, seen);
  }
});

// Guards against runs that end in vain because ordinary requests have taken all the room.
test('nested calls find room under a load of ordinary requests', async () => {
  const { counts: { nested, ordinary } } = await runLoad(40);
  assert.ok(nested.sent > nested.offered * 0.6, `${nested.sent} of ${nested.offered} nested`);
  assert.ok(ordinary.sent > ordinary.offered * 0.2, `${ordinary.sent} of ${ordinary.offered}`);
});

// Guards against a burst of requests whose connections open late, all at the same moment.
test('requests that wait for a connection take room until they are written', async () => {
  const { clock, limit } = setUp();
  const permits = Array.from({ length: MAX_PER_SECOND }, () => (
    limit.reserve(false)._unsafeUnwrap()
  ));
  await clock.advance(5 * SECOND_MS);
  assert.ok(limit.reserve(false).isErr());
  for (const permit of permits) permit.markSent();
  await clock.advance(SECOND_MS);
  assert.ok(limit.reserve(false).isErr());
  await clock.advance(200);
  const unsent = limit.reserve(false)._unsafeUnwrap();
  assert.is(limit.refuseEarly(false, MAX_PER_SECOND - 1) !== undefined, true);
  unsent.release();
  assert.is(limit.refuseEarly(false, MAX_PER_SECOND - 1), undefined);
});

// Guards against twice the bound at a restart of the node, or just after the instance turned cold.
test('requests sent before the instance was known to be cold count', () => {
  const state = { isCold: false };
  const { clock, sendAtOnce } = setUp(state);
  assert.is(sendAtOnce(60), 60);
  state.isCold = true;
  assert.is(sendAtOnce(5), 0);
  clock.jump(1.2 * SECOND_MS);
  assert.is(sendAtOnce(60), MAX_PER_SECOND);
  const restarted = createColdStartLimit({
    clock, isCold: () => true, maxPerSecond: () => MAX_PER_SECOND,
  });
  assert.ok(restarted.reserve(true).isErr());
});

// Guards against callers that all return at the moment at which room comes free.
test('refused callers return spread over the room that comes free', () => {
  const { clock, limit, sendAtOnce } = setUp();
  sendAtOnce(MAX_PER_SECOND);
  clock.jump(900);
  const returns = Array.from({ length: 9 }, () => limit.refuseEarly(false, 0)!);
  assert.ok(returns[0]! >= 200, `the first returns after ${returns[0]} ms`);
  for (let index = 1; index < returns.length; index += 1) {
    assert.ok(returns[index]! - returns[index - 1]! > SECOND_MS / MAX_PER_SECOND, `${returns}`);
  }
  assert.ok(returns.at(-1)! <= 700);
});

test('the rate is capped while the instance is cold, and unknown rates are replaced', () => {
  const state = { isCold: true };
  const { limit } = setUp(state);
  assert.is(limit.capRate(60), 17);
  assert.is(limit.capRate(5), 5);
  assert.is(limit.capRate(0), 17);
  state.isCold = false;
  assert.is(limit.capRate(60), 60);
});

test.run();
