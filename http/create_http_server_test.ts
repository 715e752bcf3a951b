import { once } from 'node:events';
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createHttpServer, renderMalformed, splitAddress } from './mod.ts';

const test = suite('http server');

const IDLE_GRACE_MS = 100;
const LIMIT_MS = 3000;

const startServer = async () => {
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: (_, response) => response.end('done'),
    renderMalformed,
  });
  const { host, port } = splitAddress(await server.listen());
  return { server, host, port };
};

const withinLimit = (work: Promise<unknown>) => Promise.race([
  work.then(() => true),
  new Promise<boolean>((resolve) => {
    setTimeout(() => resolve(false), LIMIT_MS).unref();
  }),
]);

test('a refused CONNECT does not keep its connection, nor the server from stopping', async () => {
  for (const rest of ['', 'bytes for the other end']) {
    const { server, host, port } = await startServer();
    const socket = connect(port, host).on('error', () => undefined);
    socket.write(`CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n${rest}`);
    const [answer] = await once(socket, 'data') as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1\.1 501 /u);
    socket.write('more');
    socket.end();
    const isStopped = await withinLimit(server.stop());
    server.kill();
    assert.ok(isStopped, `the stop hangs after '${rest}'`);
  }
});

test('a stop closes idle connections and ends', async () => {
  const { server, host, port } = await startServer();
  const socket = connect(port, host).on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  await once(socket, 'data');
  assert.ok(await withinLimit(server.stop()));
});

test.run();
