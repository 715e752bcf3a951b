import type { Result } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { StoreError } from '../errors/mod.ts';
import { createGuardedStore, createMemoryStore } from './mod.ts';

const kindOf = (outcome: Result<unknown, StoreError>) => (
  outcome.isErr() ? outcome.error.kind : 'ok'
);

const setUp = () => {
  const clock = createFakeClock();
  const memory = createMemoryStore(clock);
  const store = createGuardedStore(memory, {
    clock, deadlineMs: 1000, callsPerSecond: 4, burst: 2, random: () => 0.5,
  });
  return { clock, memory, store };
};

test('a call without a response fails at its deadline', async () => {
  const { clock, memory, store } = setUp();
  memory.setDelay(5000);
  const read = store.get('a');
  const write = store.compareAndSwap('a', 0, 'v');
  await clock.advance(1000);
  assert.is(kindOf(await read), 'unavailable');
  assert.is(kindOf(await write), 'unknown');
});

test('calls over the rate limit wait and are not sent if they miss the deadline', async () => {
  const { clock, memory, store } = setUp();
  const reads = Array.from({ length: 20 }, () => store.get('a'));
  await clock.advance(1000);
  const sent = (await Promise.all(reads)).filter((outcome) => outcome.isOk()).length;
  assert.ok(sent >= 5 && sent <= 6, `${sent} calls were sent`);
  assert.is(memory.counters().reads, sent);
  assert.equal(store.counters(), { sent, refused: 20 - sent, failed: 0 });
});

/** Simulates an outage of 60 s in which a caller tries once per second. */
const callInOutage = async ({ clock, memory, store }: ReturnType<typeof setUp>) => {
  memory.setDown(true);
  for (let second = 0; second < 60; second += 1) {
    const read = store.get('a');
    await clock.advance(1000);
    await read;
  }
};

test('the backoff grows to its maximum in an outage and ends with the first success', async () => {
  const parts = setUp();
  const { clock, memory, store } = parts;
  await callInOutage(parts);
  const callsWhileDown = memory.counters().reads;
  assert.ok(callsWhileDown <= 14, `${callsWhileDown} calls in 60 s of outage`);
  memory.setDown(false);
  await clock.advance(10_000);
  const first = store.get('a');
  await clock.advance(0);
  assert.ok((await first).isOk());
  const second = store.get('a');
  await clock.advance(0);
  assert.ok((await second).isOk());
});

test('the short backoff notices a recovery from a long outage within 400 ms', async () => {
  const parts = setUp();
  const { clock, memory, store } = parts;
  await callInOutage(parts);
  store.setShortBackoff(true);
  memory.setDown(false);
  const read = store.get('a');
  await clock.advance(400);
  assert.ok((await read).isOk());
});

test('a waiting watch counts as one call and has no deadline', async () => {
  const { clock, memory, store } = setUp();
  const watch = store.watch('a', 0);
  await clock.advance(60_000);
  await memory.compareAndSwap('a', 0, 'v');
  assert.is((await watch).unwrapOr([]).length, 1);
  assert.is(store.counters().sent, 1);
});

test.run();
