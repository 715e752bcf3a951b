import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { Logger } from './logger.ts';
import { createHeapGuard } from './mod.ts';

const test = suite('heap guard');

/** Creates the guard of a heap of 100 bytes, a part of which is garbage. */
const setUp = () => {
  const clock = createFakeClock();
  const heap = { inUse: 10, garbage: 0 };
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
  Object.assign(heap, { inUse: 50, garbage: 40 });
  await clock.advance(20);
  assert.ok(guard.mayAccept());
  assert.is(collections(), 1);
  assert.equal(lines, ['collected garbage']);
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
  assert.not(guard.mayAccept());
  assert.ok(guard.isRefusing());
  Object.assign(heap, { inUse: 30, garbage: 50 });
  await clock.advance(500);
  assert.not(guard.mayAccept());
  assert.is(collections(), 1);
  await clock.advance(500);
  assert.ok(guard.mayAccept());
  assert.not(guard.isRefusing());
  assert.is(collections(), 2);
  assert.equal(lines, [
    'collected garbage', 'refuses requests: the heap is nearly full', 'collected garbage',
    'accepts requests again',
  ]);
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
  const clock = createFakeClock();
  let now = 0;
  let collections = 0;
  const guard = createHeapGuard({
    clock: { ...clock, now: () => now },
    logger: {
      debug: () => undefined,
      info: () => undefined,
      warn: () => undefined,
      error: () => undefined,
      forComponent() {
        return this;
      },
    },
    readHeap: () => ({ usedBytes: 90, limitBytes: 100 }),
    collectGarbage: () => {
      collections += 1;
      now += 300;
    },
  });
  while (now < 30_000) {
    now += 20;
    guard.mayAccept();
  }
  assert.ok(collections * 300 <= 3300, `${collections} collections`);
});

test.run();
