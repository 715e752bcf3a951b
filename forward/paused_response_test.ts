import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { exchange } from './_exchange.ts';
import { createTruncationAwarePool } from './mod.ts';

const test = suite('responses that their receiver does not read');

const HEAD_BYTES = 1000;
const LENGTH = 100_000;
const END_DELAY_MS = 50;
const DEADLINE_MS = 400;

const heads: Readonly<Record<string, readonly string[]>> = {
  'a kept connection': ['HTTP/1.1 200 OK', `content-length: ${LENGTH}`],
  'connection: close': ['HTTP/1.1 200 OK', 'connection: close', `content-length: ${LENGTH}`],
  'HTTP/1.0': ['HTTP/1.0 200 OK', `content-length: ${LENGTH}`],
  'HTTP/1.0 without a length': ['HTTP/1.0 200 OK'],
  'proxy-connection: close': [
    'HTTP/1.1 200 OK', 'proxy-connection: close', `content-length: ${LENGTH}`,
  ],
  'a second connection header': [
    'HTTP/1.1 200 OK', 'connection: x-a', 'connection: close', `content-length: ${LENGTH}`,
  ],
  'a transfer coding that is not chunked': ['HTTP/1.1 200 OK', 'transfer-encoding: gzip'],
};

/** Receives a part of a response whose connection then ends; returns what was thrown meanwhile. */
const receive = async (head: readonly string[], how: 'end' | 'resetAndDestroy') => {
  const clock = createSystemClock();
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${head.join('\r\n')}\r\n\r\n${'x'.repeat(HEAD_BYTES)}`);
      setTimeout(() => socket[how](), END_DELAY_MS);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const { pool, checkEnd } = createTruncationAwarePool(`127.0.0.1:${port}`, {
    connections: 1, connectTimeoutMs: 500, keepAliveMs: 1000,
  });
  const thrown: string[] = [];
  const note = (error: unknown) => thrown.push(String(error));
  process.on('uncaughtException', note);
  const startedAt = clock.now();
  await exchange(pool, {
    method: 'GET', path: '/', headers: [], body: null,
  }, {
    start: () => 'deliver',
    write: () => false,
    onDrain: () => undefined,
    unsentBytes: () => 0,
    end: () => undefined,
  }, {
    clock,
    signal: new AbortController().signal,
    deadlineAt: startedAt + DEADLINE_MS,
    endDeadlineAt: startedAt + DEADLINE_MS,
    headProgressTimeoutMs: DEADLINE_MS,
    bodyProgressTimeoutMs: DEADLINE_MS,
    checkEnd,
  });
  const durationMs = clock.now() - startedAt;
  await clock.sleep(END_DELAY_MS);
  process.off('uncaughtException', note);
  server.close();
  return { thrown, durationMs };
};

// Guards against an exception in an event of a connection, which ends the whole process: the
// connection of a paused response ends that the HTTP parser takes for the last one.
for (const [name, head] of Object.entries(heads)) {
  for (const how of ['end', 'resetAndDestroy'] as const) {
    test(`the end of their connection throws nothing: ${name}, ${how}`, async () => {
      const { thrown, durationMs } = await receive(head, how);
      assert.equal(thrown, []);
      assert.ok(durationMs < DEADLINE_MS, 'the exchange waits for its deadline');
    });
  }
}

test.run();
