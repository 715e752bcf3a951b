import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { mayEndConnection } from '../lifecycle/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, isHalfOpen, renderMalformed } from './mod.ts';

const test = suite('half-open connections of the http server');

const REQUEST = 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n';
/** Larger than what the operating system buffers on both sides of a loopback connection. */
const LARGE_BYTES = 16_777_216;
/** Time within which the end of a connection is noticed. */
const NOTICE_MS = 200;

const setUp = async () => {
  const recorded: string[] = [];
  const responses: ServerResponse[] = [];
  const state = { isKept: true };
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: 20,
    handle: (_, response) => responses.push(response),
    ends: {
      openRequest: () => () => undefined,
      mayEnd: mayEndConnection,
      recordEnd: ({ by, why, requests }) => recorded.push(`${by} ${why} ${requests.length}`),
    },
    keepsHalfOpen: () => state.isKept,
    renderMalformed,
  });
  const address = await server.listen();
  const connection = openConnection(address);
  await once(connection.socket, 'connect');
  return {
    ...connection,
    server,
    recorded,
    responses,
    state,
    /** Ends the side of the client, once its request has been read. */
    sendAndEnd: async () => {
      connection.socket.write(REQUEST);
      while (responses.length === 0) await sleep(1);
      connection.socket.end();
      await sleep(NOTICE_MS);
      return responses[0]!;
    },
    stop: async () => {
      connection.socket.destroy();
      server.kill();
    },
  };
};

test('a response to a half-open connection is sent whole, and ends the connection', async () => {
  const {
    sendAndEnd, closed, received, recorded, server, stop,
  } = await setUp();
  const response = await sendAndEnd();
  assert.ok(isHalfOpen(response.req.socket));
  const stopped = server.stop();
  response.end('x'.repeat(LARGE_BYTES));
  await closed;
  await stopped;
  assert.match(received(), /^HTTP\/1\.1 200 .*connection: close\r\n/isu);
  assert.is(received().split('\r\n\r\n')[1]?.length, LARGE_BYTES);
  assert.equal(recorded, []);
  await stop();
});

test('the loss of a half-open connection is recorded with its error', async () => {
  const {
    sendAndEnd, closed, socket, recorded, responses, stop,
  } = await setUp();
  const response = await sendAndEnd();
  socket.resetAndDestroy();
  await closed;
  response.writeHead(200, { 'content-length': LARGE_BYTES });
  for (let part = 0; part < 3 && recorded.length === 0; part += 1) {
    response.write('part');
    await sleep(NOTICE_MS / 4);
  }
  assert.is(responses[0]!.destroyed, true);
  assert.is(recorded.length, 1);
  assert.match(recorded[0]!, /^client (?:EPIPE|ECONNRESET) 1$/u);
  await stop();
});

// The record named the client, whose FIN had ended nothing.
test('the end of a half-open connection by the node is not recorded as the client\'s', async () => {
  const { sendAndEnd, recorded, stop } = await setUp();
  const response = await sendAndEnd();
  response.req.socket.destroy();
  await once(response, 'close');
  assert.equal(recorded, ['unknown  1']);
  await stop();
});

test('a connection is not kept half open while its server does not ask for it', async () => {
  const {
    sendAndEnd, closed, state, received, recorded, responses, stop,
  } = await setUp();
  state.isKept = false;
  const response = await sendAndEnd();
  await closed;
  assert.is(isHalfOpen(response.req.socket), false);
  assert.is(responses[0]!.destroyed, true);
  assert.is(received(), '');
  assert.equal(recorded, ['client end 1']);
  await stop();
});

test('a connection without a request ends with its client', async () => {
  const { socket, closed, stop } = await setUp();
  socket.end();
  assert.ok(await Promise.race([closed.then(() => true), sleep(NOTICE_MS, false)]));
  await stop();
});

test.run();
