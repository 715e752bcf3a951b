import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createLineBuffer } from './_line_buffer.ts';

const test = suite('line buffer');

const createBuffer = () => {
  const clock = createFakeClock();
  const writes: string[] = [];
  const buffer = createLineBuffer({ clock, write: (lines) => writes.push(lines) });
  return { clock, writes, buffer };
};

// Guards against one system call for each log line of a busy host.
test('lines within the interval share one write, in order', async () => {
  const { clock, writes, buffer } = createBuffer();
  buffer.append('a\n');
  await clock.advance(50);
  buffer.append('b\n');
  assert.equal(writes, []);
  await clock.advance(50);
  assert.equal(writes, ['a\nb\n']);
});

test('a long batch is written at once, and only once', async () => {
  const { clock, writes, buffer } = createBuffer();
  const line = `${'x'.repeat(999)}\n`;
  for (let count = 0; count < 17; count += 1) buffer.append(line);
  assert.equal(writes, [line.repeat(17)]);
  await clock.advance(1000);
  assert.is(writes.length, 1);
});

test('nothing is scheduled without lines', async () => {
  const { clock, writes, buffer } = createBuffer();
  assert.is(clock.pending(), 0);
  buffer.append('a\n');
  assert.is(buffer.take(), 'a\n');
  assert.is(clock.pending(), 0);
  await clock.advance(1000);
  assert.equal(writes, []);
});

test.run();
