import { once } from 'node:events';
import { createServer } from 'node:http';
import { type AddressInfo, createServer as createTcpServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createBoundedPool } from './mod.ts';

const test = suite('bounded pool');

const CHUNK_BYTES = 32_768;
const CHUNK_COUNT = 200;

// Guards against a handler of undici, an instance of a class, that loses its methods; and against a
// limit that counts the parts of a body which are parsed when a paused response goes on.
test('a long body arrives whole at a reader that pauses', async () => {
  let connections = 0;
  const server = createServer((_, response) => {
    for (let count = 0; count < CHUNK_COUNT; count += 1) response.write('x'.repeat(CHUNK_BYTES));
    response.end();
  });
  server.on('connection', () => {
    connections += 1;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const pool = createBoundedPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  for (let requests = 0; requests < 2; requests += 1) {
    const { statusCode, body } = await pool.request({ method: 'GET', path: '/' });
    let receivedBytes = 0;
    for await (const chunk of body) {
      receivedBytes += (chunk as Buffer).length;
      await sleep(1);
    }
    assert.is(statusCode, 200);
    assert.is(receivedBytes, CHUNK_COUNT * CHUNK_BYTES);
  }
  await pool.close();
  server.close();
  assert.is(connections, 1);
});

// Guards against a connection that is kept while it sends bytes to which no request belongs.
test('line breaks after an answer close the connection', async () => {
  let closed: Promise<unknown> = Promise.resolve();
  const server = createTcpServer((socket: Socket) => {
    closed = once(socket, 'close');
    socket.on('error', () => undefined).once('data', async () => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello');
      await sleep(20);
      socket.write('\r\n');
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const pool = createBoundedPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  const { body } = await pool.request({ method: 'GET', path: '/' });
  assert.is(await body.text(), 'hello');
  const isClosed = await Promise.race([closed.then(() => true), sleep(2000, false)]);
  await pool.destroy();
  server.close();
  assert.ok(isClosed);
});

test.run();
