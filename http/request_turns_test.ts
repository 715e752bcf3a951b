import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { isMet } from '../testing/is_met.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, renderMalformed } from './mod.ts';

const test = suite('turns of pipelined requests');

const WORK_MS = 40;
/** Time in which a request behind another one would have been handled. */
const SETTLE_MS = 100;
/** Limits the wait for responses that must come. */
const ANSWER_LIMIT_MS = 10_000;
const FLOOD_REQUESTS = 400_000;
const MAX_READ_REQUESTS = 20_000;

const format = (path: string, ...fields: readonly string[]) => (
  [`GET ${path} HTTP/1.1`, 'host: h', ...fields, '\r\n'].join('\r\n')
);

const setUp = async (
  handle: (request: IncomingMessage, response: ServerResponse) => void,
  mayEndAfter: () => boolean = () => false,
) => {
  const handled: string[] = [];
  const discarded: string[] = [];
  let running = 0;
  let maxRunning = 0;
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: WORK_MS,
    handle: (request, response) => {
      handled.push(request.url ?? '');
      running += 1;
      maxRunning = Math.max(maxRunning, running);
      response.once('finish', () => {
        running -= 1;
      });
      request.resume();
      handle(request, response);
    },
    mayEndAfter,
    onDiscard: (requests) => discarded.push(...requests.map(({ url }) => url ?? '')),
    renderMalformed,
  });
  const connection = openConnection(await server.listen());
  return {
    ...connection, server, handled, discarded, maxRunning: () => maxRunning,
  };
};

const answerLater = ({ url }: IncomingMessage, response: ServerResponse) => {
  setTimeout(() => response.end(`done${url}`), WORK_MS);
};

const answerAtOnce = ({ url }: IncomingMessage, response: ServerResponse) => {
  response.end(`done${url}`);
};

const count = (text: string, part: RegExp) => text.match(part)?.length ?? 0;

test('requests of a connection are handled one after the other', async () => {
  const { socket, server, ...seen } = await setUp(answerLater);
  socket.write(format('/a') + format('/b') + format('/c'));
  await isMet(() => seen.received().endsWith('done/c'), ANSWER_LIMIT_MS);
  await sleep(SETTLE_MS);
  assert.match(seen.received(), /done\/a.*done\/b.*done\/c$/su);
  assert.is(seen.maxRunning(), 1);
  assert.is(count(seen.received(), /connection: close/giu), 0);
  server.kill();
});

// The first response of a server that ends its connections left those behind it without one.
for (const [name, answer] of Object.entries({ 'at once': answerAtOnce, later: answerLater })) {
  test(`only the last of several responses ends the connection (${name})`, async () => {
    const { socket, closed, ...seen } = await setUp(answer, () => true);
    socket.write(format('/a') + format('/b') + format('/c'));
    await closed;
    assert.equal(seen.handled, ['/a', '/b', '/c']);
    assert.is(count(seen.received(), /connection: close/giu), 1);
    assert.match(seen.received(), /connection: close\r\n.*done\/c$/isu);
  });
}

test('a request that arrives behind a running one moves the end of the connection', async () => {
  let finishFirst = () => undefined as unknown;
  let bytesRead = () => 0;
  const { socket, closed, ...seen } = await setUp(({ url, socket: connection }, response) => {
    bytesRead = () => connection.bytesRead;
    finishFirst = () => response.end(`done${url}`);
    if (url === '/b') finishFirst();
  }, () => true);
  const [first, second] = [format('/a'), format('/b')];
  socket.write(first);
  assert.ok(await isMet(() => seen.handled.length === 1, ANSWER_LIMIT_MS));
  socket.write(second);
  assert.ok(await isMet(() => bytesRead() === first.length + second.length, ANSWER_LIMIT_MS));
  finishFirst();
  await closed;
  assert.match(seen.received(), /done\/a.*connection: close\r\n.*done\/b$/isu);
});

// Guards against a run whose response can no longer be sent.
test('a request behind a response that has announced the end is not handled', async () => {
  const { socket, closed, ...seen } = await setUp((_, response) => {
    response.writeHead(200, ['content-length', '4']).write('do');
    setTimeout(() => response.end('ne'), 2 * WORK_MS);
  }, () => true);
  socket.write(format('/a'));
  await sleep(WORK_MS);
  socket.write(format('/b'));
  await closed;
  assert.match(seen.received(), /connection: close.*done$/isu);
  assert.equal(seen.handled, ['/a']);
  assert.equal(seen.discarded, ['/b']);
});

test('a client that ends its connection after a request is sent no further response', async () => {
  const { socket, closed, ...seen } = await setUp(answerLater);
  socket.write(format('/a', 'connection: close') + format('/b'));
  await closed;
  assert.match(seen.received(), /connection: close.*done\/a$/isu);
  assert.equal(seen.handled, ['/a']);
});

test('stop() answers all requests that were read', async () => {
  const {
    socket, closed, server, ...seen
  } = await setUp(answerLater);
  socket.write(format('/a') + format('/b') + format('/c'));
  await sleep(WORK_MS / 2);
  await Promise.all([server.stop(), closed]);
  assert.is(count(seen.received(), /connection: close/giu), 1);
  assert.match(seen.received(), /connection: close\r\n.*done\/c$/isu);
});

// Requests without end behind a slow one filled the memory.
test('few requests are read ahead of the one that is handled', async () => {
  const { socket, server, ...seen } = await setUp(({ url }, response) => {
    if (url === '/a') setTimeout(() => response.end('done'), 10 * SETTLE_MS);
    else response.end('done');
  });
  socket.write(format('/a'));
  socket.write(format('/b').repeat(FLOOD_REQUESTS));
  await sleep(5 * SETTLE_MS);
  const bytesRead = socket.bytesWritten - socket.writableLength;
  assert.equal(seen.handled, ['/a']);
  assert.ok(bytesRead < socket.bytesWritten, `${bytesRead} of ${socket.bytesWritten} bytes`);
  socket.destroy();
  await sleep(SETTLE_MS);
  assert.ok(seen.discarded.length < MAX_READ_REQUESTS, String(seen.discarded.length));
  server.kill();
});

test('more requests than are read ahead are all answered', async () => {
  const { socket, server, ...seen } = await setUp(answerAtOnce);
  socket.write(format('/b').repeat(1000));
  await isMet(() => count(seen.received(), /done\/b/gu) >= 1000, ANSWER_LIMIT_MS);
  await sleep(SETTLE_MS);
  assert.is(count(seen.received(), /done\/b/gu), 1000);
  server.kill();
});

test.run();
