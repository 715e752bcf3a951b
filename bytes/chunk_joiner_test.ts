import { setImmediate as nextTurn } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createChunkJoiner } from './mod.ts';

const test = suite('chunk joiner');

test('small chunks of one turn are passed on together, in order with large ones', async () => {
  const passed: Buffer[] = [];
  const joiner = createChunkJoiner((chunk) => passed.push(chunk));
  for (let count = 0; count < 1000; count += 1) joiner.add(Buffer.from([count % 256]));
  joiner.add(Buffer.alloc(5000, 1));
  joiner.add(Buffer.from([2]));
  await nextTurn();
  joiner.add(Buffer.from([3]));
  joiner.flush();
  assert.equal(passed.map(({ length }) => length), [1000, 5000, 1, 1]);
  const expected = Buffer.concat([
    Buffer.from(Array.from({ length: 1000 }, (_, index) => index % 256)),
    Buffer.alloc(5000, 1), Buffer.from([2, 3]),
  ]);
  assert.ok(Buffer.concat(passed).equals(expected));
});

test('more than a block in one turn is passed on in blocks', async () => {
  const passed: number[] = [];
  const joiner = createChunkJoiner(({ length }) => passed.push(length));
  for (let count = 0; count < 2000; count += 1) joiner.add(Buffer.alloc(100));
  await nextTurn();
  assert.is(passed.reduce((sum, length) => sum + length), 200_000);
  assert.ok(passed.length <= 4, `${passed.length} blocks`);
});

test('nothing is passed on without chunks', async () => {
  const passed: Buffer[] = [];
  createChunkJoiner((chunk) => passed.push(chunk)).flush();
  await nextTurn();
  assert.is(passed.length, 0);
});

test.run();
