import { once } from 'node:events';
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createHttpServer, renderMalformed, splitAddress } from './mod.ts';

const test = suite('http server');

const IDLE_GRACE_MS = 100;
const STOP_TIMEOUT_MS = 3000;

const startServer = async (body = 'done') => {
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: (_, response) => response.end(body),
    renderMalformed,
  });
  const { host, port } = splitAddress(await server.listen());
  return { server, host, port };
};

const endsInTime = (work: Promise<unknown>) => Promise.race([
  work.then(() => true),
  new Promise<boolean>((resolve) => {
    setTimeout(() => resolve(false), STOP_TIMEOUT_MS).unref();
  }),
]);

test('a refused CONNECT neither leaks its connection nor blocks shutdown', async () => {
  for (const rest of ['', 'bytes for the other end']) {
    const { server, host, port } = await startServer();
    const socket = connect(port, host).on('error', () => undefined);
    socket.write(`CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n${rest}`);
    const [response] = await once(socket, 'data') as [Buffer];
    assert.match(response.toString(), /^HTTP\/1\.1 501 /u);
    socket.write('more');
    socket.end();
    const isStopped = await endsInTime(server.stop());
    server.kill();
    assert.ok(isStopped, `stop() hangs after '${rest}'`);
  }
});

test('stop() closes idle connections and resolves', async () => {
  const { server, host, port } = await startServer();
  const socket = connect(port, host).on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  await once(socket, 'data');
  assert.ok(await endsInTime(server.stop()));
});

// The connection of a response counted as idle before the last bytes were sent, and was closed.
test('stop() sends a response to a slow reader to its end', async () => {
  const bodyBytes = 16_777_216;
  const { server, host, port } = await startServer('x'.repeat(bodyBytes));
  const socket = connect(port, host).on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  await once(socket, 'readable');
  const stopped = server.stop();
  await new Promise((resolve) => {
    setTimeout(resolve, 3 * IDLE_GRACE_MS);
  });
  let receivedBytes = 0;
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
  });
  await once(socket, 'close');
  assert.ok(receivedBytes > bodyBytes, `received ${receivedBytes} bytes`);
  assert.ok(await endsInTime(stopped));
});

test.run();
