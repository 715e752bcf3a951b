import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createBulkSink, createEgressLink } from './mod.ts';

const test = suite('bulk sink');

const setUp = () => {
  const clock = createFakeClock();
  const link = createEgressLink({ clock, megabitsPerSecond: 8, maxBufferedBytes: 100_000 });
  const written: number[] = [];
  const response = Object.assign(new EventEmitter(), {
    destroyed: false,
    hasEnded: false,
    acceptsMore: true,
    writeHead: () => undefined,
    write: (chunk: Buffer) => {
      written.push(chunk.length);
      return response.acceptsMore;
    },
    end: () => {
      response.hasEnded = true;
    },
  });
  const sink = createBulkSink(response as unknown as ServerResponse, () => undefined, link);
  return {
    clock, link, written, response, sink,
  };
};

test('a body is complete at its receiver before the response ends', async () => {
  const {
    clock, written, response, sink,
  } = setUp();
  sink.start(200, []);
  for (let count = 0; count < 6; count += 1) sink.write(Buffer.alloc(10_000));
  sink.end();
  assert.is(response.hasEnded, false);
  await clock.advance(100);
  assert.is(written.length, 6);
  assert.is(response.hasEnded, true);
});

test('a body waits for the drain of a slow receiver', async () => {
  const {
    clock, written, response, sink,
  } = setUp();
  response.acceptsMore = false;
  sink.start(200, []);
  sink.write(Buffer.alloc(10_000));
  sink.write(Buffer.alloc(10_000));
  sink.end();
  await clock.advance(100);
  assert.is(written.length, 1);
  response.emit('drain');
  response.emit('drain');
  assert.is(written.length, 2);
});

test('a closed response leaves no backlog', () => {
  const { link, response, sink } = setUp();
  sink.start(200, []);
  for (let count = 0; count < 9; count += 1) sink.write(Buffer.alloc(10_000));
  response.emit('close');
  assert.is(link.backlogBytes(), 0);
});

// A few receivers that had stopped reading held the whole buffer, and every other download of the
// host was cut at its deadline.
test('reading continues while other receivers hold the buffer', async () => {
  const {
    clock, link, response, sink: stalled,
  } = setUp();
  response.acceptsMore = false;
  stalled.start(200, []);
  for (let count = 0; count < 12; count += 1) stalled.write(Buffer.alloc(10_000));
  const other = Object.assign(new EventEmitter(), {
    destroyed: false, writeHead: () => undefined, write: () => true, end: () => undefined,
  });
  const sink = createBulkSink(other as unknown as ServerResponse, () => undefined, link);
  sink.start(200, []);
  let chunks = 0;
  const read = () => {
    chunks += 1;
    if (chunks === 5) return;
    if (sink.write(Buffer.alloc(10_000))) read();
    else sink.onDrain(read);
  };
  read();
  await clock.advance(100);
  assert.is(chunks, 5);
});

test('the end of a response without a body is passed on', () => {
  const { response, sink } = setUp();
  sink.start(204, []);
  sink.end();
  assert.is(response.hasEnded, true);
});

test.run();
