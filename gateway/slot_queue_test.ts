import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createSlotQueue, type SlotRequest } from './slot_queue.ts';

const test = suite('slot queue');

const setUp = (slots = 2) => {
  const clock = createFakeClock();
  const queue = createSlotQueue({ clock, slots: () => slots, peer: () => 'i-1' });
  const requestOf = (changes: Partial<SlotRequest> = {}): SlotRequest => ({
    priority: 2,
    workClass: 'lookup',
    deadlineAt: clock.now() + 1000,
    targetAt: clock.now() + 300,
    signal: new AbortController().signal,
    ...changes,
  });
  return { clock, queue, requestOf };
};

test('a free slot is given at once', async () => {
  const { queue, requestOf } = setUp();
  const permit = await queue.acquire(requestOf());
  assert.is(permit.isOk(), true);
  assert.is(queue.load().inFlight, 1);
});

test('a crest is refused at once with a time to come back, not held', async () => {
  const { clock, queue, requestOf } = setUp();
  const results = Array.from({ length: 40 }, () => queue.acquire(requestOf()));
  const ended: boolean[] = [];
  for (const result of results) result.then((permit) => ended.push(permit.isErr()));
  await clock.advance(0);
  const refusedAtOnce = ended.filter((isRefused) => isRefused).length;
  assert.ok(refusedAtOnce >= 20, `${refusedAtOnce} refused at once`);
  const refused = await results.at(-1)!;
  assert.is(refused._unsafeUnwrapErr().outcome, 'not run');
  assert.ok(refused._unsafeUnwrapErr().retryAfterSeconds! > 0);
});

test('refused callers are told to come back one after the other', async () => {
  const { queue, requestOf } = setUp();
  const results = await Promise.all(Array.from({ length: 30 }, async () => {
    const result = await Promise.race([queue.acquire(requestOf()), Promise.resolve(undefined)]);
    return result?.isErr() ? result.error.retryAfterSeconds! : undefined;
  }));
  const times = results.filter((time) => time !== undefined);
  assert.ok(times.length > 10);
  assert.ok(new Set(times).size > times.length / 2, times.join());
  assert.ok(Math.max(...times) <= 0.7);
});

test('calls of admitted requests go before new requests', async () => {
  const { clock, queue, requestOf } = setUp(1);
  const running = (await queue.acquire(requestOf()))._unsafeUnwrap();
  const order: string[] = [];
  queue.acquire(requestOf()).then(() => order.push('request'));
  queue.acquire(requestOf({ priority: 0 })).then((permit) => {
    order.push('call');
    permit._unsafeUnwrap().release(true);
  });
  running.release(true);
  await clock.advance(1);
  assert.equal(order, ['call', 'request']);
});

test('a request does not wait longer than its answer has worth', async () => {
  const { clock, queue, requestOf } = setUp(1);
  await queue.acquire(requestOf());
  const waiting = queue.acquire(requestOf());
  await clock.advance(1000);
  const result = await waiting;
  assert.is(result._unsafeUnwrapErr().outcome, 'not run');
});

test('a caller that has gone leaves the queue', async () => {
  const { clock, queue, requestOf } = setUp(1);
  await queue.acquire(requestOf());
  const leaving = new AbortController();
  const waiting = queue.acquire(requestOf({ signal: leaving.signal }));
  leaving.abort();
  await clock.advance(0);
  assert.is((await waiting).isErr(), true);
  assert.is(queue.load().queued, 0);
});

test('a call is not refused for a short wait, since its parent has a slot already', async () => {
  const { clock, queue, requestOf } = setUp(6);
  for (let count = 0; count < 6; count += 1) await queue.acquire(requestOf());
  // The target leaves 100 ms; a slot is free within 80 ms.
  const call = queue.acquire(requestOf({
    priority: 0, workClass: 'call', targetAt: clock.now() + 100, deadlineAt: clock.now() + 250,
  }));
  await clock.advance(0);
  assert.is(queue.load().queued, 1);
  await clock.advance(300);
  await call;
});

test('a request that can be in time goes before one that cannot', async () => {
  const { clock, queue, requestOf } = setUp(1);
  await clock.advance(1000);
  const running = (await queue.acquire(requestOf()))._unsafeUnwrap();
  const order: string[] = [];
  const note = (name: string, request: SlotRequest) => {
    queue.acquire(request).then((permit) => {
      order.push(name);
      if (permit.isOk()) permit.value.release(true);
    });
  };
  note('returned', requestOf({ targetAt: clock.now() - 400, deadlineAt: clock.now() + 2000 }));
  note('first', requestOf());
  running.release(true);
  await clock.advance(1);
  assert.equal(order, ['first', 'returned']);
});

test('a crest of returning callers is served in time for the most part', async () => {
  const clock = createFakeClock();
  const slots = 6;
  const workMs = 100;
  const queue = createSlotQueue({ clock, slots: () => slots, peer: () => 'i-1' });
  let inTime = 0;
  const call = async (firstAt: number, attempt: number): Promise<void> => {
    const result = await queue.acquire({
      priority: 2,
      workClass: 'lookup',
      deadlineAt: firstAt + 2000,
      targetAt: firstAt + 300,
      signal: new AbortController().signal,
    });
    if (result.isOk()) {
      await clock.sleep(workMs);
      result.value.release(true);
      if (clock.now() - firstAt <= 300) inTime += 1;
      return;
    }
    const leftMs = firstAt + 2000 - clock.now();
    if (attempt === 2 || leftMs < 300) return;
    await clock.sleep(Math.min(result.error.retryAfterSeconds! * 1000, leftMs / 3));
    await call(firstAt, attempt + 1);
  };
  // 100 requests a second for 60 that can be served, for five seconds.
  for (let step = 0; step < 500; step += 1) {
    call(clock.now(), 0);
    await clock.advance(10);
  }
  const capacity = (slots * 5000) / workMs;
  assert.ok(inTime >= capacity * 0.8, `${inTime} of ${capacity} in time`);
});

test.run();
