import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, renderMalformed } from './mod.ts';

const test = suite('CONNECT requests');

const WORK_MS = 60;
const SETTLE_MS = 60;
const ATTEMPTS = 10;
const LARGE_LIMIT_MS = 5000;
/** Limits the wait for a response on a busy machine. */
const ANSWER_LIMIT_MS = 5000;

const REQUEST = 'GET /a HTTP/1.1\r\nHost: h\r\n\r\n';
const CONNECT = 'CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n';

const LARGE_BYTES = 20_000_000;
const CHUNK = Buffer.alloc(65_536, 'x');

/** Writes a large body as fast as the client reads it. */
const answerLarge = (response: ServerResponse) => {
  let leftBytes = LARGE_BYTES;
  const write = () => {
    while (leftBytes > 0) {
      const chunk = CHUNK.subarray(0, leftBytes);
      leftBytes -= chunk.length;
      if (!response.write(chunk)) {
        response.once('drain', write);
        return;
      }
    }
    response.end('done');
  };
  response.writeHead(200, ['content-length', String(LARGE_BYTES + 'done'.length)]);
  write();
};

const startServer = async () => {
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: WORK_MS,
    handle: ({ url }, response) => {
      if (url === '/large') answerLarge(response);
      else setTimeout(() => response.end(`done${url}`), WORK_MS);
    },
    renderMalformed,
  });
  const address = await server.listen();
  return { server, open: () => openConnection(address) };
};

type Leave = (socket: Socket) => unknown;

const ways: Readonly<Record<string, Leave>> = {
  end: (socket) => socket.end(),
  destroy: (socket) => socket.destroy(),
  reset: (socket) => socket.resetAndDestroy(),
  'more bytes and reset': (socket) => socket.write('more', () => socket.resetAndDestroy()),
};

/** Runs a task and returns the exceptions that nothing has handled meanwhile. */
const collectExceptions = async (task: () => Promise<void>) => {
  const exceptions: unknown[] = [];
  const onException = (error: unknown) => {
    exceptions.push(error);
  };
  process.on('uncaughtException', onException);
  await task();
  process.off('uncaughtException', onException);
  return exceptions;
};

// The reset of a connection after CONNECT ended the whole process.
for (const [way, leave] of Object.entries(ways)) {
  for (const [before, bytes] of Object.entries({ 'no request': '', 'a request': REQUEST })) {
    test(`CONNECT behind ${before} and a client that leaves (${way}) harm no other`, async () => {
      const { server, open } = await startServer();
      const other = open();
      const exceptions = await collectExceptions(async () => {
        other.socket.write(REQUEST);
        for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
          const { socket } = open();
          socket.write(bytes + CONNECT);
          setTimeout(() => leave(socket), attempt);
        }
        await sleep(WORK_MS + SETTLE_MS);
        const endsAt = performance.now() + ANSWER_LIMIT_MS;
        while (!other.received().endsWith('done/a') && performance.now() < endsAt) {
          await sleep(SETTLE_MS);
        }
      });
      assert.equal(exceptions, []);
      assert.match(other.received(), /done\/a$/u);
      other.socket.destroy();
      await server.stop();
    });
  }
}

// The refusal of CONNECT took the place of the response to the request before it.
test('a request before CONNECT is answered first', async () => {
  const { server, open } = await startServer();
  const { socket, closed, received } = open();
  socket.write(REQUEST + REQUEST + CONNECT);
  await closed;
  assert.match(received(), /^HTTP\/1\.1 200 .*done\/aHTTP\/1\.1 200 .*done\/aHTTP\/1\.1 501 /su);
  await server.stop();
});

// Node.js takes its listener to the drain of the socket off, and the response stopped for good.
test('a large response before CONNECT is sent to its end', async () => {
  const { server, open } = await startServer();
  const { socket, closed, received } = open();
  socket.write(REQUEST.replace('/a', '/large') + CONNECT);
  await Promise.race([closed, sleep(LARGE_LIMIT_MS)]);
  socket.destroy();
  assert.ok(received().length > LARGE_BYTES, `received ${received().length} bytes`);
  assert.match(received().slice(-200), /doneHTTP\/1\.1 501 /u);
  await server.stop();
});

test.run();
