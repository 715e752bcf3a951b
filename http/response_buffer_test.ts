import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createResponseBuffer, createResponseSink } from './mod.ts';

const test = suite('response buffer');

/** A response whose client reads nothing. */
const createStalledResponse = () => {
  const response = Object.assign(new EventEmitter(), {
    writableLength: 0,
    destroyed: false,
    writeHead: () => undefined,
    write: (chunk: Buffer) => {
      response.writableLength += chunk.length;
      return false;
    },
  });
  return response as unknown as ServerResponse & { writableLength: number };
};

test('a response is read ahead of a slow client, up to the limit', () => {
  const buffer = createResponseBuffer(30_000);
  const sink = createResponseSink(createStalledResponse(), () => undefined, buffer);
  sink.start(200, []);
  assert.is(sink.write(Buffer.alloc(10_000)), true);
  assert.is(sink.write(Buffer.alloc(10_000)), true);
  assert.is(sink.write(Buffer.alloc(10_000)), false);
});

test('the limit covers all responses, and a closed response frees its share', () => {
  const buffer = createResponseBuffer(30_000);
  const first = createStalledResponse();
  const startSink = (response: ServerResponse) => {
    const sink = createResponseSink(response, () => undefined, buffer);
    sink.start(200, []);
    return sink;
  };
  assert.is(startSink(first).write(Buffer.alloc(25_000)), true);
  const second = startSink(createStalledResponse());
  assert.is(second.write(Buffer.alloc(10_000)), false);
  first.emit('close');
  assert.is(second.write(Buffer.alloc(10_000)), true);
});

// Guards against tiny chunks, whose unsent writes take hundreds of times the memory of their bytes.
test('a response of tiny chunks is not read ahead up to the limit in bytes', () => {
  const buffer = createResponseBuffer(2_000_000);
  const sink = createResponseSink(createStalledResponse(), () => undefined, buffer);
  sink.start(200, []);
  let writes = 1;
  while (writes < 100_000 && sink.write(Buffer.alloc(1))) writes += 1;
  assert.ok(writes < 2000, `${writes} writes wait`);
  assert.ok(sink.unsentBytes!() > 100 * writes, 'the memory of the writes is not counted');
});

// Guards against many responses of tiny chunks, each within its own limit of writes, that together
// take many times the memory that the buffer may.
test('the limit counts the memory of tiny chunks over all responses', () => {
  const responses = 100;
  const buffer = createResponseBuffer(2_000_000);
  let writes = 0;
  for (let count = 0; count < responses; count += 1) {
    const sink = createResponseSink(createStalledResponse(), () => undefined, buffer);
    sink.start(200, []);
    do writes += 1; while (sink.write(Buffer.alloc(1)));
  }
  // An unsent write takes over a hundred bytes; each response may exceed the limit by one.
  assert.ok(writes <= 2_000_000 / 100 + responses, `${writes} writes wait`);
});

test('without a buffer, a response is read only as fast as it is sent', () => {
  const sink = createResponseSink(createStalledResponse(), () => undefined);
  sink.start(200, []);
  assert.is(sink.write(Buffer.alloc(100)), false);
});

test.run();
