import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createEgressLink } from './mod.ts';

const test = suite('egress link');

/** A link of 8 Mbit/s, of which 900 bytes per ms are used. */
const setUp = (maxBufferedBytes = 1_000_000) => {
  const clock = createFakeClock();
  const link = createEgressLink({ clock, megabitsPerSecond: 8, maxBufferedBytes });
  const sent: string[] = [];
  const open = (name: string, hasRoom = () => true) => link.openBulk({
    send: (chunk) => {
      sent.push(`${name}:${chunk.length}`);
      return hasRoom();
    },
    finish: () => sent.push(`${name}:end`),
    onRoom: () => sent.push(`${name}:room`),
  });
  const bytesOf = (name: string) => sent
    .filter((entry) => entry.startsWith(`${name}:`))
    .reduce((sum, entry) => sum + (Number(entry.split(':')[1]) || 0), 0);
  return {
    clock, link, sent, open, bytesOf,
  };
};

const writeBody = (body: ReturnType<ReturnType<typeof setUp>['open']>, bytes: number) => {
  for (let left = bytes; left > 0; left -= 10_000) body.write(Buffer.alloc(Math.min(left, 10_000)));
  body.end();
};

// Downloads filled the queue of a 9 Mbit/s link, and nested calls waited 228 ms behind them.
test('bulk bodies do not fill the queue of the link', async () => {
  const { clock, open, bytesOf } = setUp();
  writeBody(open('a'), 300_000);
  assert.ok(bytesOf('a') <= 30_000, `${bytesOf('a')} at once`);
  await clock.advance(100);
  assert.ok(bytesOf('a') <= 100 * 900 + 30_000, `${bytesOf('a')} after 100 ms`);
  assert.ok(bytesOf('a') >= 100 * 900 * 0.9, `${bytesOf('a')} after 100 ms`);
});

// Bodies of receivers that had stopped reading made a host refuse all further downloads.
test('a body whose receiver has stopped reading does not count as wait for the link', async () => {
  const { clock, link, open } = setUp();
  writeBody(open('stopped', () => false), 500_000);
  await clock.advance(100);
  writeBody(open('next'), 90_000);
  await clock.advance(200);
  assert.ok(link.backlogBytes() > 400_000, `${link.backlogBytes()} bytes wait`);
  const oneBodyMs = 500_000 / 900;
  assert.ok(link.bulkDelayMs() <= oneBodyMs, `${link.bulkDelayMs()} ms`);
});

// An instance sends chunks of 64 kB, each of which kept a link of 9 Mbit/s busy for 57 ms.
test('a large chunk is not sent at once', async () => {
  const { clock, open, bytesOf } = setUp();
  const body = open('a');
  body.write(Buffer.alloc(65_536));
  body.end();
  assert.ok(bytesOf('a') <= 32_768, `${bytesOf('a')} at once`);
  await clock.advance(60);
  assert.is(bytesOf('a'), 65_536);
});

test('the bodies are sent one after the other, each to its end', async () => {
  const { clock, open, sent } = setUp();
  writeBody(open('a'), 50_000);
  writeBody(open('b'), 50_000);
  await clock.advance(200);
  assert.ok(sent.indexOf('a:end') < sent.indexOf('b:10000'), sent.join());
  assert.is(sent.at(-1), 'b:end');
});

test('short responses take their bytes from the bandwidth of bulk bodies', async () => {
  const {
    clock, link, open, bytesOf,
  } = setUp();
  writeBody(open('a'), 500_000);
  for (let step = 0; step < 100; step += 1) {
    link.count(450);
    await clock.advance(1);
  }
  assert.ok(bytesOf('a') <= 100 * 450 + 30_000, `${bytesOf('a')}`);
});

test('a body whose receiver is slow does not hold up the others', async () => {
  const { clock, open, sent } = setUp();
  writeBody(open('slow', () => false), 50_000);
  writeBody(open('b'), 50_000);
  await clock.advance(200);
  assert.is(sent.filter((entry) => entry.startsWith('slow:')).length, 1);
  assert.is(sent.at(-1), 'b:end');
});

test('a discarded body frees its room for the others', () => {
  const { link, open } = setUp(50_000);
  const gone = open('gone', () => false);
  for (let count = 0; count < 8; count += 1) gone.write(Buffer.alloc(10_000));
  assert.is(link.hasRoom(), false);
  gone.discard();
  assert.is(link.hasRoom(), true);
  assert.is(link.backlogBytes(), 0);
});

// Guards against a limit that grows with each body: a chunk just above the size of a burst was
// counted once when it came, and in two parts, one of them rounded up, when it was sent.
test('bodies that were sent leave the limit as it was', async () => {
  const { clock, link, open } = setUp(50_000);
  for (let count = 0; count < 100; count += 1) {
    const body = open('sent');
    body.write(Buffer.alloc(16_385));
    body.end();
    await clock.advance(100);
  }
  assert.is(link.backlogBytes(), 0);
  const waiting = open('waiting', () => false);
  for (let count = 0; count < 8; count += 1) waiting.write(Buffer.alloc(10_000));
  assert.is(link.hasRoom(), false);
});

test('reading continues once the buffer has room', async () => {
  const { clock, open, sent } = setUp(20_000);
  const body = open('a');
  for (let count = 0; count < 5; count += 1) body.write(Buffer.alloc(10_000));
  assert.is(sent.includes('a:room'), false);
  await clock.advance(60);
  assert.is(sent.includes('a:room'), true);
});

// undici fails a response when another one is resumed from within its parser.
test('reading continues only after the call that made room', async () => {
  const { clock, open, sent } = setUp(20_000);
  const first = open('a');
  for (let count = 0; count < 2; count += 1) first.write(Buffer.alloc(10_000));
  const second = open('b');
  for (let count = 0; count < 2; count += 1) second.write(Buffer.alloc(10_000));
  await clock.advance(4.5);
  first.end();
  assert.is(sent.at(-1), 'b:10000');
  await Promise.resolve();
  assert.is(sent.at(-1), 'b:room');
});

test('the delay of a further body counts the backlog and the expected bodies', async () => {
  const { clock, link, open } = setUp();
  assert.is(link.bulkDelayMs(), 0);
  writeBody(open('a'), 90_000);
  await clock.advance(200);
  assert.is(Math.round(link.bulkDelayMs()), 100);
  const end = link.expectBulk();
  assert.is(Math.round(link.bulkDelayMs()), 200);
  end();
  end();
  assert.is(Math.round(link.bulkDelayMs()), 100);
});

test.run();
