import { once } from 'node:events';
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createHttpServer, renderMalformed, splitAddress } from './mod.ts';

const test = suite('stop of the http server');

const IDLE_GRACE_MS = 50;
const CONNECTIONS = 20;
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

const startServer = async () => {
  const paths: string[] = [];
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: ({ url }, response) => {
      paths.push(url ?? '');
      response.end('done');
    },
    renderMalformed,
  });
  const { host, port } = splitAddress(await server.listen());
  const open = () => {
    const socket = connect(port, host);
    let received = '';
    let error = '';
    socket.on('error', ({ message }) => {
      error = message;
    });
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    const closed = new Promise<unknown>((resolve) => {
      socket.once('close', resolve);
    });
    return {
      socket, closed, received: () => received, error: () => error,
    };
  };
  return { server, paths, open };
};

// Node.js accepts one connection a turn; the stop reset all others, whose requests were in transit.
test('connections that are established when the server stops are served', async () => {
  const { server, open } = await startServer();
  const connections = Array.from({ length: CONNECTIONS }, open);
  for (const { socket } of connections) socket.write(REQUEST);
  await new Promise(process.nextTick);
  await server.stop();
  for (const { closed, received, error } of connections) {
    await closed;
    assert.is(error(), '');
    assert.match(received(), /^HTTP\/1\.1 200 .*done$/su);
  }
});

test('a request that arrives during the stop is handled and gets one response', async () => {
  const { server, paths, open } = await startServer();
  const { socket, closed, received } = open();
  await once(socket, 'connect');
  const stopped = server.stop();
  socket.write(REQUEST);
  await closed;
  await stopped;
  assert.equal(paths, ['/']);
  assert.match(received(), /^HTTP\/1\.1 200 .*connection: close.*done$/isu);
});

test.run();
