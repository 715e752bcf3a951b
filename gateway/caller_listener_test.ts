import { once } from 'node:events';
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { PublishedRoute } from '../contract/mod.ts';
import { createEgressLink, splitAddress } from '../http/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  type CallerListenerOptions, createCallerListener, createDispatchQueue, createRouteTable,
  createShutdownTracker, type DispatchQueue, MAX_BUFFERED_BYTES, type RequestSender,
} from './mod.ts';

const test = suite('caller listener');

const route: PublishedRoute = {
  name: 'orders',
  host: 'shop.example',
  prefix: '/orders/',
  kind: 'unsafe',
  timeoutMs: 1000,
  targetLatencyMs: 300,
  priority: 1,
  maxAttempts: 1,
  targets: [{ service: 'orders', weight: 1 }],
};

const setUp = async (
  send: RequestSender['send'],
  dispatch?: DispatchQueue,
  callDetector?: CallerListenerOptions['callDetector'],
) => {
  const clock = createSystemClock();
  const shutdown = createShutdownTracker(clock);
  const table = createRouteTable({ revision: 1, routes: [route], services: new Map() });
  const listener = createCallerListener({
    clock,
    dispatch: dispatch ?? createDispatchQueue({ clock }),
    address: '127.0.0.1:0',
    headers: {
      requestId: 'request-id', remainingMs: 'deadline-ms', callerService: 'caller', key: 'key',
    },
    callerService: () => 'orders',
    routes: () => table,
    sender: { send, refuseEarly: () => undefined },
    shutdown,
    callDetector,
    link: createEgressLink({
      clock, megabitsPerSecond: 1000, maxBufferedBytes: MAX_BUFFERED_BYTES,
    }),
    logger: noopLogger,
    random: () => 0,
  });
  return { listener, shutdown, address: await listener.listen() };
};

/** Sends a request with a body, and reads the response only once the connection has settled. */
const post = async (address: string, path: string, bodyBytes: number) => {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host).on('error', () => undefined);
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.write([
    `POST ${path} HTTP/1.1`, 'host: shop.example', 'connection: close',
    `content-length: ${bodyBytes}`, '\r\n',
  ].join('\r\n'));
  socket.write(Buffer.alloc(bodyBytes));
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  await closed;
  return received;
};

const neverSend: RequestSender['send'] = () => Promise.reject(new Error('not expected'));

// The connection of a refused request was closed while its body was arriving. The reset that this
// causes discarded the refusal.
test('a request refused before its body has been read gets the whole refusal', async () => {
  const { listener, shutdown, address } = await setUp(neverSend);
  assert.match(await post(address, '/unknown/', 8_388_608), /^HTTP\/1\.1 404 .*no route matches/su);
  shutdown.leave(Number.MAX_SAFE_INTEGER);
  shutdown.close();
  assert.match(await post(address, '/orders/', 8_388_608), /^HTTP\/1\.1 503 .*not run/su);
  await listener.stop();
});

test('a request whose body is too large gets the whole refusal', async () => {
  const { listener, address } = await setUp(neverSend);
  assert.match(await post(address, '/orders/', 75_497_472), /^HTTP\/1\.1 413 .*too large/su);
  await listener.stop();
});

// An error inside the node closed the connection of a request that had been accepted.
test('a request whose handling fails gets an answer', async () => {
  const { listener, address } = await setUp(neverSend);
  assert.match(await post(address, '/orders/', 5), /^HTTP\/1\.1 502 .*unknown/su);
  await listener.stop();
});

// An error after the end of a response reset the connection on which it was being sent.
test('a response is sent to its end although its bookkeeping fails', async () => {
  const { listener, address } = await setUp(async (_, __, sink) => {
    const body = Buffer.alloc(16_777_216, 'x');
    sink.start(200, ['content-length', String(body.length)]);
    sink.write(body);
    sink.end();
    throw new Error('the bookkeeping failed');
  });
  const received = await post(address, '/orders/', 5);
  assert.match(received, /^HTTP\/1\.1 200 /u);
  assert.ok(received.length > 16_777_216, `received ${received.length} bytes`);
  await listener.stop();
});

// Guards against a request that stays open without an answer while its body trickles in.
for (const framing of ['content-length: 100', 'transfer-encoding: chunked']) {
  test(`a body that is late (${framing}) gets a final answer at the deadline`, async () => {
    let sends = 0;
    const { listener, address } = await setUp(async () => {
      sends += 1;
      return { kind: 'answered', status: 200 };
    });
    const { host, port } = splitAddress(address);
    const socket = connect(port, host).on('error', () => undefined);
    socket.write([
      'POST /orders/a HTTP/1.1', 'host: shop.example', 'deadline-ms: 300', framing, '\r\n',
    ].join('\r\n'));
    const timer = setInterval(() => {
      socket.write(framing.startsWith('content') ? 'x' : '1\r\nx\r\n');
    }, 50);
    const limit = setTimeout(() => socket.destroy(), 2500);
    let text = '';
    socket.on('data', (data) => {
      text += data.toString();
    });
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    clearInterval(timer);
    clearTimeout(limit);
    listener.kill();
    assert.match(text, /^HTTP\/1\.1 408 [^]*"outcome":"not run"/u);
    assert.is(sends, 0);
  });
}

// A saturated node read the bodies of requests that it refused.
test('a saturated node refuses a request before its body has been read', async () => {
  const { listener, address } = await setUp(neverSend, {
    isTimely: () => false,
    wait: () => Promise.reject(new Error('not expected')),
  });
  const { host, port } = splitAddress(address);
  const socket = connect(port, host).on('error', () => undefined);
  socket.write([
    'POST /orders/a HTTP/1.1', 'host: shop.example', 'content-length: 5', '\r\n',
  ].join('\r\n'));
  const [data] = await once(socket, 'data') as [Buffer];
  assert.match(data.toString(), /^HTTP\/1\.1 503 [^]*retry-after: 0\.4[^]*"outcome":"not run"/u);
  socket.destroy();
  listener.kill();
});

// Guards against callers' late requests that go before others, as requests of rank 0 did that were
// marked by their short time to live, and against calls that lose the rank of their route.
test('a nested call is marked and keeps the rank of its route', async () => {
  const received: unknown[] = [];
  const { listener, address } = await setUp(async ({ priority, isNestedCall }, _, sink) => {
    received.push([priority, isNestedCall]);
    sink.start(200, []);
    sink.end();
    return { kind: 'answered', status: 200 };
  }, undefined, {
    classify: () => (received.length < 2 ? 'call' : 'unsure'),
    isProven: () => false,
    trackResponse: () => () => undefined,
    isCallConnection: () => false,
  });
  const { host, port } = splitAddress(address);
  for (const deadlineMs of [340, 900, 340]) {
    const socket = connect(port, host).on('error', () => undefined);
    socket.write([
      'GET /orders/a HTTP/1.1', 'host: shop.example', `deadline-ms: ${deadlineMs}`, '\r\n',
    ].join('\r\n'));
    await once(socket, 'data');
    socket.destroy();
  }
  listener.kill();
  assert.equal(received, [[1, true], [1, true], [1, false]]);
});

test.run();
