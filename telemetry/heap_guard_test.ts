import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { Logger } from './logger.ts';
import { createHeapGuard } from './mod.ts';

const test = suite('heap guard');

/** Creates the guard of a heap of 100 bytes, a part of which is garbage. */
const setUp = ({ inUse = 10, collectionMs = 0 } = {}) => {
  const clock = createFakeClock();
  const heap = { inUse, garbage: 0 };
  const lines: string[] = [];
  let collections = 0;
  const write = (_: unknown, message: string) => {
    lines.push(message);
  };
  const logger: Logger = {
    debug: write, info: write, warn: write, error: write, forComponent: () => logger,
  };
  const guard = createHeapGuard({
    clock,
    logger,
    readHeap: () => ({ usedBytes: heap.inUse + heap.garbage, limitBytes: 100 }),
    collectGarbage: () => {
      heap.garbage = 0;
      collections += 1;
      clock.jump(collectionMs);
    },
  });
  return {
    clock, heap, lines, guard, collections: () => collections,
  };
};

// Guards against a node that refuses requests at ordinary load, as garbage counts as used.
test('garbage alone leads to no refusal', async () => {
  const {
    clock, heap, guard, lines, collections,
  } = setUp();
  heap.inUse = 50;
  for (let step = 0; step < 200; step += 1) {
    heap.garbage += 1;
    await clock.advance(50);
    assert.ok(guard.mayAccept(), `step ${step}, ${heap.garbage} garbage`);
  }
  assert.ok(collections() > 1);
  assert.equal(new Set(lines), new Set(['collected garbage']));
});

// Guards against a node that refuses requests between two collections with over half of its heap in
// use: garbage reached the limit within the least interval of the collections.
test('garbage that reaches the limit within a second leads to no refusal', async () => {
  const {
    clock, heap, guard, lines, collections,
  } = setUp({ inUse: 59, collectionMs: 40 });
  for (let step = 0; step < 1000; step += 1) {
    heap.garbage += 0.35;
    await clock.advance(10);
    assert.ok(guard.mayAccept(), `step ${step}, ${heap.garbage} garbage`);
  }
  assert.ok(collections() * 400 <= clock.now(), `${collections()} collections`);
  assert.equal(new Set(lines), new Set(['collected garbage']));
});

// Guards against refusals for garbage that last longer than until the next turn.
test('garbage near the limit leads to refusals until the next turn collects it', async () => {
  const {
    clock, heap, guard, collections,
  } = setUp();
  Object.assign(heap, { inUse: 50, garbage: 40 });
  await clock.advance(20);
  assert.not(guard.mayAccept());
  await clock.advance(0);
  assert.is(collections(), 1);
  assert.not(guard.isRefusing());
  assert.ok(guard.mayAccept());
});

// Guards against an abort by V8 after a burst of requests since the last collection.
test('growth since the last collection counts as in use near the limit', async () => {
  const {
    clock, heap, guard, collections,
  } = setUp();
  Object.assign(heap, { inUse: 50, garbage: 16 });
  await clock.advance(20);
  assert.ok(guard.mayAccept());
  await clock.advance(20);
  assert.is(collections(), 1);
  assert.ok(guard.mayAccept());
  heap.inUse = 77;
  await clock.advance(20);
  assert.not(guard.mayAccept());
  assert.is(collections(), 1);
});

// Guards against an abort by V8 when its own collection shows that little of the heap is garbage.
test('what a collection of V8 leaves leads to refusals', async () => {
  const {
    clock, heap, guard, collections,
  } = setUp();
  heap.inUse = 50;
  for (const garbage of [16, 0, 18]) {
    heap.garbage = garbage;
    await clock.advance(20);
    assert.ok(guard.mayAccept());
  }
  Object.assign(heap, { inUse: 66, garbage: 0 });
  await clock.advance(20);
  assert.not(guard.mayAccept());
  assert.is(collections(), 1);
});

// Guards against a request, and all others of its turn, that wait for a collection of all garbage.
test('no garbage is collected in the turn of a request', async () => {
  const {
    clock, heap, guard, collections,
  } = setUp();
  for (const inUse of [50, 60, 80]) {
    Object.assign(heap, { inUse, garbage: 90 - inUse });
    await clock.advance(2000);
    const before = collections();
    for (let index = 0; index < 40; index += 1) guard.mayAccept();
    assert.is(collections(), before, `${inUse} in use`);
    await clock.advance(2000);
    assert.ok(collections() > before, `${inUse} in use`);
  }
});

// Guards against an abort by V8 with requests in flight.
test('requests are refused while the heap is nearly full, and accepted after', async () => {
  const {
    clock, heap, guard, lines, collections,
  } = setUp();
  heap.inUse = 80;
  await clock.advance(20);
  assert.not(guard.mayAccept());
  await clock.advance(0);
  assert.not(guard.mayAccept());
  assert.ok(guard.isRefusing());
  Object.assign(heap, { inUse: 30, garbage: 50 });
  await clock.advance(500);
  assert.not(guard.mayAccept());
  assert.is(collections(), 1);
  await clock.advance(500);
  assert.not(guard.isRefusing());
  assert.ok(guard.mayAccept());
  assert.is(collections(), 2);
  assert.equal(lines, [
    'refuses requests: the heap is nearly full', 'collected garbage', 'collected garbage',
    'accepts requests again',
  ]);
});

// Guards against an abort by V8 at the threshold of refusals, where little is left to collect.
test('requests are refused if a collection leaves the heap nearly full', async () => {
  const { clock, heap, guard } = setUp();
  heap.inUse = 66;
  await clock.advance(20);
  guard.mayAccept();
  await clock.advance(0);
  assert.not(guard.mayAccept());
});

// Guards against a first request after a pause that is refused for garbage of the time before.
test('requests are accepted again without a request in between', async () => {
  const { clock, heap, guard } = setUp();
  heap.inUse = 80;
  await clock.advance(20);
  assert.not(guard.mayAccept());
  await clock.advance(2000);
  Object.assign(heap, { inUse: 10, garbage: 70 });
  await clock.advance(2000);
  assert.ok(guard.mayAccept());
});

// Guards against a timer that keeps a stopped process from its end.
test('a stopped guard collects no more', async () => {
  const {
    clock, heap, guard, collections,
  } = setUp();
  heap.inUse = 80;
  await clock.advance(20);
  guard.mayAccept();
  guard.stop();
  assert.is(clock.pending(), 0);
  await clock.advance(2000);
  assert.is(collections(), 0);
});

// Guards against a burst of requests between two samples that fills the heap.
test('many requests at once are checked by more than one sample', () => {
  const { heap, guard } = setUp();
  let accepted = 0;
  while (accepted < 100 && guard.mayAccept()) {
    accepted += 1;
    heap.inUse += 1;
  }
  assert.ok(accepted < 85, `${accepted} accepted`);
});

test('the collections take at most a tenth of the time', async () => {
  const { clock, lines, guard } = setUp({ inUse: 90, collectionMs: 300 });
  while (clock.now() < 30_000) {
    await clock.advance(20);
    guard.mayAccept();
  }
  const collections = lines.filter((line) => line === 'collected garbage').length;
  assert.ok(collections * 300 <= 3300, `${collections} collections`);
  assert.ok(collections >= 8, `${collections} collections`);
});

test.run();
