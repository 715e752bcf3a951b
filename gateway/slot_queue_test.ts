import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createSlotQueue, type SlotRequest } from './slot_queue.ts';

const test = suite('slot queue');

const setUp = (slots = 2) => {
  const clock = createFakeClock();
  const queue = createSlotQueue({ clock, slots: () => slots, instance: () => 'i-1' });
  const requestOf = (changes: Partial<SlotRequest> = {}): SlotRequest => ({
    priority: 2,
    workClass: 'lookup',
    deadlineAt: clock.now() + 1000,
    latencyTargetAt: clock.now() + 300,
    signal: new AbortController().signal,
    ...changes,
  });
  return { clock, queue, requestOf };
};

test('a request gets a free slot at once', async () => {
  const { queue, requestOf } = setUp();
  const permit = await queue.acquire(requestOf());
  assert.is(permit.isOk(), true);
  assert.is(queue.load().inFlight, 1);
});

test('requests that cannot be served in time are refused at once with a Retry-After', async () => {
  const { clock, queue, requestOf } = setUp();
  const results = Array.from({ length: 40 }, () => queue.acquire(requestOf()));
  const refusals: boolean[] = [];
  for (const result of results) result.then((permit) => refusals.push(permit.isErr()));
  await clock.advance(0);
  const refusedAtOnce = refusals.filter((isRefused) => isRefused).length;
  assert.ok(refusedAtOnce >= 20, `${refusedAtOnce} refused at once`);
  const refused = await results.at(-1)!;
  assert.is(refused._unsafeUnwrapErr().outcome, 'not run');
  assert.ok(refused._unsafeUnwrapErr().retryAfterSeconds! > 0);
});

// Without the estimates, logs did not tell whether the queue or a wrong estimate refused a request.
test('a refusal carries the estimates on which it was based', async () => {
  const causes: string[] = [];
  const clock = createFakeClock();
  const queue = createSlotQueue({
    clock, slots: () => 1, instance: () => 'i-1', onRefused: (cause) => causes.push(cause),
  });
  const request = {
    priority: 2,
    workClass: 'lookup',
    deadlineAt: clock.now() + 1000,
    latencyTargetAt: clock.now() + 50,
    signal: new AbortController().signal,
  };
  await queue.acquire(request);
  const { figures } = (await queue.acquire(request))._unsafeUnwrapErr();
  assert.equal(causes, ['wait']);
  assert.ok(figures.expectedWaitMs! > figures.allowedWaitMs!);
  assert.is(figures.inFlight, 1);
  assert.is(figures.toTargetMs, 50);
});

test('refused callers get staggered Retry-After times', async () => {
  const { queue, requestOf } = setUp();
  const results = await Promise.all(Array.from({ length: 30 }, async () => {
    const result = await Promise.race([queue.acquire(requestOf()), Promise.resolve(undefined)]);
    return result?.isErr() ? result.error.retryAfterSeconds! : undefined;
  }));
  const retryTimes = results.filter((time) => time !== undefined);
  assert.ok(retryTimes.length > 10);
  assert.ok(new Set(retryTimes).size > retryTimes.length / 2, retryTimes.join());
  assert.ok(Math.max(...retryTimes) <= 0.7);
});

test('nested calls of admitted requests are served before new requests', async () => {
  const { clock, queue, requestOf } = setUp(1);
  const running = (await queue.acquire(requestOf()))._unsafeUnwrap();
  const order: string[] = [];
  queue.acquire(requestOf()).then(() => order.push('request'));
  queue.acquire(requestOf({ isNestedCall: true })).then((permit) => {
    order.push('call');
    permit._unsafeUnwrap().release(true);
  });
  running.release(true);
  await clock.advance(1);
  assert.equal(order, ['call', 'request']);
});

// Nested calls that could meet their deadline were refused, and their callers had run in vain.
test('a nested call may wait beyond its latency target', async () => {
  const { clock, queue, requestOf } = setUp(1);
  const running = (await queue.acquire(requestOf({ workClass: 'long' })))._unsafeUnwrap();
  const waiting = queue.acquire(requestOf({
    isNestedCall: true, latencyTargetAt: clock.now() + 20, deadlineAt: clock.now() + 300,
  }));
  await clock.advance(100);
  running.release(true);
  assert.is((await waiting).isOk(), true);
});

test('a request is refused once it has waited too long to be useful', async () => {
  const { clock, queue, requestOf } = setUp(1);
  await queue.acquire(requestOf());
  const waiting = queue.acquire(requestOf());
  await clock.advance(1000);
  const result = await waiting;
  assert.is(result._unsafeUnwrapErr().outcome, 'not run');
});

test('a request leaves the queue when its caller disconnects', async () => {
  const { clock, queue, requestOf } = setUp(1);
  await queue.acquire(requestOf());
  const caller = new AbortController();
  const waiting = queue.acquire(requestOf({ signal: caller.signal }));
  caller.abort();
  await clock.advance(0);
  assert.is((await waiting).isErr(), true);
  assert.is(queue.load().queued, 0);
});

test('a nested call is not refused for a short wait: its parent already has a slot', async () => {
  const { clock, queue, requestOf } = setUp(6);
  for (let count = 0; count < 6; count += 1) await queue.acquire(requestOf());
  // The latency target is 100 ms away; a slot becomes free within 80 ms.
  const call = queue.acquire(requestOf({
    isNestedCall: true,
    workClass: 'call',
    latencyTargetAt: clock.now() + 100,
    deadlineAt: clock.now() + 250,
  }));
  await clock.advance(0);
  assert.is(queue.load().queued, 1);
  await clock.advance(300);
  await call;
});

test('a request that can meet its latency target is served before one that cannot', async () => {
  const { clock, queue, requestOf } = setUp(1);
  await clock.advance(1000);
  const running = (await queue.acquire(requestOf()))._unsafeUnwrap();
  const order: string[] = [];
  const enqueue = (name: string, request: SlotRequest) => {
    queue.acquire(request).then((permit) => {
      order.push(name);
      if (permit.isOk()) permit.value.release(true);
    });
  };
  enqueue('retry', requestOf({
    latencyTargetAt: clock.now() - 400, deadlineAt: clock.now() + 2000,
  }));
  enqueue('first', requestOf());
  running.release(true);
  await clock.advance(1);
  assert.equal(order, ['first', 'retry']);
});

// A download was admitted to a free slot although its host's link was busy for seconds.
test('a response that the link cannot send in time is refused at once', async () => {
  const { queue, requestOf } = setUp();
  const refused = await queue.acquire(requestOf({ sendMs: 400 }));
  assert.is(refused._unsafeUnwrapErr().outcome, 'not run');
  assert.ok(refused._unsafeUnwrapErr().retryAfterSeconds! >= 0.1);
  assert.is((await queue.acquire(requestOf({ sendMs: 80 }))).isOk(), true);
});

// In FIFO order, a load peak with retries would make every response late.
test('a load peak with retries uses most of the capacity for responses in time', async () => {
  const clock = createFakeClock();
  const slots = 6;
  const processingMs = 100;
  const queue = createSlotQueue({ clock, slots: () => slots, instance: () => 'i-1' });
  let inTime = 0;
  const call = async (firstAttemptAt: number, attempt: number): Promise<void> => {
    const result = await queue.acquire({
      priority: 2,
      workClass: 'lookup',
      deadlineAt: firstAttemptAt + 2000,
      latencyTargetAt: firstAttemptAt + 300,
      signal: new AbortController().signal,
    });
    if (result.isOk()) {
      await clock.sleep(processingMs);
      result.value.release(true);
      if (clock.now() - firstAttemptAt <= 300) inTime += 1;
      return;
    }
    const remainingMs = firstAttemptAt + 2000 - clock.now();
    if (attempt === 2 || remainingMs < 300) return;
    await clock.sleep(Math.min(result.error.retryAfterSeconds! * 1000, remainingMs / 3));
    await call(firstAttemptAt, attempt + 1);
  };
  // 100 requests per second for five seconds, of which 60 per second can be served.
  for (let step = 0; step < 500; step += 1) {
    call(clock.now(), 0);
    await clock.advance(10);
  }
  const capacity = (slots * 5000) / processingMs;
  assert.ok(inTime >= capacity * 0.8, `${inTime} of ${capacity} in time`);
});

// Nested calls on routes without the highest priority were refused with most of their time left,
// and the requests that made them had run in vain.
test('a request that cannot come back after a refusal may wait until its deadline', async () => {
  const { clock, queue, requestOf } = setUp(1);
  const running = (await queue.acquire(requestOf({ workClass: 'order' })))._unsafeUnwrap();
  const short = queue.acquire(requestOf({
    workClass: 'state', deadlineAt: clock.now() + 340, latencyTargetAt: clock.now() + 136,
  }));
  await clock.advance(150);
  running.release(true);
  assert.ok((await short).isOk());
});

// Nested calls waited behind new requests with a much later latency target.
test('the request with the earliest latency target is served first', async () => {
  const { clock, queue, requestOf } = setUp(1);
  const running = (await queue.acquire(requestOf()))._unsafeUnwrap();
  const served: string[] = [];
  const request = (name: string, targetMs: number) => {
    queue.acquire(requestOf({
      latencyTargetAt: clock.now() + targetMs, deadlineAt: clock.now() + 3 * targetMs,
    })).then((permit) => {
      if (permit.isErr()) return;
      served.push(name);
      permit.value.release(true);
    });
  };
  request('order', 400);
  request('state', 136);
  await clock.advance(20);
  running.release(true);
  await clock.advance(0);
  assert.equal(served, ['state', 'order']);
});

test.run();
