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

test.run();
