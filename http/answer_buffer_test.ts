import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createAnswerBuffer, createResponseSink } from './mod.ts';

const test = suite('answer buffer');

/** A response whose reader takes nothing. */
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

test('an answer is read to its end although its reader is slow, within the limit', () => {
  const buffer = createAnswerBuffer(300);
  const sink = createResponseSink(createStalledResponse(), () => undefined, buffer);
  sink.start(200, []);
  assert.is(sink.write(Buffer.alloc(100)), true);
  assert.is(sink.write(Buffer.alloc(100)), true);
  assert.is(sink.write(Buffer.alloc(100)), false);
});

test('the limit holds over all answers, and a closed one frees its part', () => {
  const buffer = createAnswerBuffer(300);
  const first = createStalledResponse();
  const sinkOf = (response: ServerResponse) => {
    const sink = createResponseSink(response, () => undefined, buffer);
    sink.start(200, []);
    return sink;
  };
  assert.is(sinkOf(first).write(Buffer.alloc(250)), true);
  const second = sinkOf(createStalledResponse());
  assert.is(second.write(Buffer.alloc(100)), false);
  first.emit('close');
  assert.is(second.write(Buffer.alloc(100)), true);
});

test('without a buffer, an answer is read as fast as it is sent', () => {
  const sink = createResponseSink(createStalledResponse(), () => undefined);
  sink.start(200, []);
  assert.is(sink.write(Buffer.alloc(100)), false);
});

test.run();
