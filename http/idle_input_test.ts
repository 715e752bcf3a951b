import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Clock, createFakeClock, createSystemClock } from '../clock/mod.ts';
import { createHttpServer, renderMalformed, splitAddress } from './mod.ts';

const test = suite('input of idle connections');

const TIME_LIMIT_MS = 4000;
/** Time in ms for which the server reads what was sent, before the fake clock advances. */
const READ_MS = 5;

/** Opens a connection on which one request has been answered. */
const openKept = async (clock: Clock = createSystemClock()) => {
  const server = createHttpServer({
    clock,
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: 100,
    handle: (_, response) => response.end('done'),
    renderMalformed,
  });
  const { host, port } = splitAddress(await server.listen());
  const socket = connect(port, host).on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  await once(socket, 'data');
  socket.resume();
  return { server, socket };
};

// Guards against line breaks, which begin no request, that are read as fast as they come.
test('a kept connection that sends line breaks without end is closed', async () => {
  const { server, socket } = await openKept();
  const lines = Buffer.from('\r\n'.repeat(16_384));
  const write = () => {
    while (!socket.destroyed && socket.write(lines));
  };
  socket.on('drain', write);
  write();
  const isClosed = await Promise.race([
    new Promise((resolve) => {
      socket.once('close', () => resolve(true));
    }),
    sleep(TIME_LIMIT_MS, false, { ref: false }),
  ]);
  server.kill();
  assert.ok(isClosed);
});

// Guards against line breaks that keep a connection without requests open.
test('a kept connection that sends line breaks now and then is closed', async () => {
  const clock = createFakeClock();
  const { server, socket } = await openKept(clock);
  let passedMs = 0;
  for (; passedMs < 200_000 && !socket.closed; passedMs += 1000) {
    socket.write('\r\n');
    await sleep(READ_MS);
    await clock.advance(1000);
  }
  server.kill();
  assert.ok(passedMs >= 85_000 && passedMs < 100_000, `closed after ${passedMs} ms`);
});

// Guards against a limit on line breaks that closes connections that are used.
test('a kept connection with requests and line breaks stays open', async () => {
  const clock = createFakeClock();
  const { server, socket } = await openKept(clock);
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  for (let count = 0; count < 4 && !socket.closed; count += 1) {
    socket.write('\r\n');
    await sleep(READ_MS);
    await clock.advance(60_000);
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n');
    await Promise.race([once(socket, 'data').catch(() => undefined), closed]);
    for (let part = 0; part < 5; part += 1) {
      socket.write('x'.repeat(100_000));
      await sleep(READ_MS);
      await clock.advance(20_000);
    }
  }
  const isOpen = !socket.closed;
  server.kill();
  assert.ok(isOpen);
});

test.run();
