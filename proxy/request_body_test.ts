import { EventEmitter, once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRequestBody } from './_request_body.ts';

const test = suite('streamed request body');

/** What the parser may find in one read of a socket. */
const CHUNKS = 10_000;

const createMessage = () => Object.assign(new EventEmitter(), {
  complete: false, destroyed: false, pause: () => undefined, resume: () => undefined,
});

// Guards against a body that takes many times the memory of its bytes, since the stream kept each
// chunk as an object of its own.
test('small chunks that arrive together are kept together and in order', async () => {
  const message = createMessage();
  const { stream } = createRequestBody(message as unknown as IncomingMessage, 100_000);
  const parts: Buffer[] = [];
  stream.read(0);
  const sent = Buffer.from(Array.from({ length: CHUNKS + 1 }, (_, index) => index % 256));
  for (let at = 0; at < CHUNKS; at += 1) message.emit('data', sent.subarray(at, at + 1));
  await nextTurn();
  message.emit('data', sent.subarray(CHUNKS));
  message.complete = true;
  message.emit('end');
  stream.on('data', (part: Buffer) => parts.push(part));
  await once(stream, 'end');
  assert.ok(Buffer.concat(parts).equals(sent));
  assert.ok(parts.length <= 2, `${parts.length} parts`);
});

test('a body that is too large fails, and nothing is passed on after that', async () => {
  const message = createMessage();
  const body = createRequestBody(message as unknown as IncomingMessage, 10);
  const errors: string[] = [];
  body.stream.on('error', ({ message: text }) => errors.push(text));
  body.stream.read(0);
  message.emit('data', Buffer.alloc(8));
  message.emit('data', Buffer.alloc(8));
  await nextTurn();
  assert.ok(body.isTooLarge());
  assert.equal(errors, ['the body is larger than the route allows']);
});

test.run();
