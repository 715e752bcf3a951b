import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import { type Admission, createAdmission, type Permit } from './mod.ts';

const setUp = (slots = 6) => {
  const clock = createFakeClock();
  return { clock, admission: createAdmission({ clock, announcedSlots: () => slots }) };
};

interface RequestOptions {
  readonly customer?: string;
  readonly deadlineAt?: number;
  readonly signal?: AbortSignal;
}

/** Requests a slot; the returned state holds the permit or the refusal once there is one. */
const ask = (admission: Admission, requestClass: RequestClass, options: RequestOptions = {}) => {
  const state: { permit?: Permit; status?: number; outcome?: string; retry?: number } = {};
  admission.acquire({
    requestClass,
    customer: options.customer ?? 'a',
    share: 1,
    deadlineAt: options.deadlineAt ?? 1_000_000,
    signal: options.signal ?? new AbortController().signal,
  }).then((result) => {
    if (result.isOk()) state.permit = result.value;
    else {
      state.status = result.error.status;
      state.outcome = result.error.outcome;
      state.retry = result.error.retryAfterSeconds;
    }
  });
  return state;
};

const askMany = (admission: Admission, count: number, requestClass: RequestClass) => (
  Array.from({ length: count }, () => ask(admission, requestClass))
);

const granted = (asked: readonly { permit?: Permit }[]) => (
  asked.filter(({ permit }) => permit !== undefined).length
);

test('bulk requests cannot occupy every slot, so a check is dispatched immediately', async () => {
  const { clock, admission } = setUp();
  const bulk = askMany(admission, 20, 'bulk');
  await clock.advance(1);
  assert.is(granted(bulk), 5);
  const check = ask(admission, 'check');
  await clock.advance(1);
  assert.is(check.permit?.queuedMs, 0);
});

test('lookups cannot occupy the slot reserved for checks', async () => {
  const { clock, admission } = setUp();
  const lookups = askMany(admission, 20, 'lookup');
  await clock.advance(1);
  assert.is(granted(lookups), 5);
  const check = ask(admission, 'check');
  await clock.advance(1);
  assert.ok(check.permit);
});

test('checks that run longer than expected do not use up the reserve', async () => {
  const { clock, admission } = setUp();
  const stragglers = askMany(admission, 6, 'check');
  await clock.advance(1);
  assert.is(granted(stragglers), 6);
  const check = ask(admission, 'check');
  await clock.advance(1);
  assert.not.ok(check.permit);
  await clock.advance(500);
  assert.ok(check.permit);
});

test('stragglers count as long requests, so bulk cannot fill the other slots', async () => {
  const { clock, admission } = setUp();
  askMany(admission, 4, 'lookup');
  await clock.advance(500);
  const bulk = askMany(admission, 6, 'bulk');
  await clock.advance(1);
  assert.ok(granted(bulk) <= 1);
});

test('an aborted or expired request leaves the queue without being dispatched', async () => {
  const { clock, admission } = setUp(1);
  ask(admission, 'lookup');
  await clock.advance(1);
  const abort = new AbortController();
  const gone = ask(admission, 'lookup', { signal: abort.signal, deadlineAt: 5000 });
  const late = ask(admission, 'lookup', { deadlineAt: 400 });
  await clock.advance(1);
  assert.is(admission.load().queued, 2);
  abort.abort();
  await clock.advance(500);
  assert.is(gone.status, 499);
  assert.equal([late.status, late.outcome], [503, 'not run']);
  assert.equal([admission.load().queued, clock.pending()], [0, 0]);
});

test('a request that cannot meet its deadline is refused immediately', async () => {
  const { clock, admission } = setUp(2);
  for (let round = 0; round < 40; round += 1) {
    const asked = ask(admission, 'lookup');
    await clock.advance(100);
    asked.permit?.release('success');
  }
  const deadlineAt = clock.now() + 520;
  const asked = Array.from({ length: 10 }, () => ask(admission, 'lookup', { deadlineAt }));
  await clock.advance(1);
  // One slot serves a request in 100 ms, which is measured within 1 %: one request runs, four can
  // wait, and five cannot meet the deadline.
  const refused = asked.filter(({ status, outcome, retry }) => (
    status === 503 && outcome === 'not run' && retry === 1
  ));
  assert.is(refused.length, 5);
  assert.is(admission.load().serviceRate, 20);
});

test('a customer that fills the queue does not evict a quiet customer', async () => {
  const { clock, admission } = setUp(1);
  askMany(admission, 100, 'lookup');
  await clock.advance(1);
  const quiet = ask(admission, 'lookup', { customer: 'quiet' });
  await clock.advance(1);
  assert.is(quiet.status, undefined);
  assert.is(admission.load().queued, 16);
});

test('the limit shrinks when the upstream refuses requests, and recovers', async () => {
  const { clock, admission } = setUp(10);
  for (let round = 0; round < 5; round += 1) {
    const asked = ask(admission, 'lookup');
    await clock.advance(150);
    asked.permit?.release('overload');
  }
  assert.ok(admission.load().limit <= 4);
  await clock.advance(1000);
  for (let round = 0; round < 10; round += 1) {
    admission.load();
    await clock.advance(1000);
  }
  assert.is(admission.load().limit, 10);
});

test.run();
