import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { createSystemClock } from '../clock/mod.ts';
import { createEgressLink } from '../http/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  createCallerListener, createDispatchQueue, createRouteTable, createShutdownTracker,
  MAX_BUFFERED_BYTES,
  type RequestSender,
} from './mod.ts';

const test = suite('unhandled failure');

const clock = createSystemClock();
const routes = createRouteTable({
  revision: 1,
  routes: [{
    name: 'orders',
    host: 'shop.example',
    prefix: '/orders/',
    kind: 'unsafe',
    timeoutMs: 1000,
    targetLatencyMs: 300,
    priority: 1,
    maxAttempts: 2,
    targets: [{ service: 'orders', weight: 1 }],
  }],
  services: new Map(),
});

const sendThrough = async (
  send: RequestSender['send'],
  refuseEarly: RequestSender['refuseEarly'] = () => undefined,
) => {
  const listener = createCallerListener({
    clock,
    dispatch: createDispatchQueue({ clock }),
    address: '127.0.0.1:0',
    headers: {
      requestId: 'request-id',
      remainingMs: 'deadline-ms',
      callerService: 'caller-service',
      key: 'shard-key',
    },
    callerService: () => 'shop',
    routes: () => routes,
    sender: { send, refuseEarly },
    shutdown: createShutdownTracker(clock),
    link: createEgressLink({
      clock, megabitsPerSecond: 1000, maxBufferedBytes: MAX_BUFFERED_BYTES,
    }),
    logger: noopLogger,
    random: () => 0,
  });
  const address = await listener.listen();
  try {
    const { statusCode, headers, body } = await request(`http://${address}/orders/1`, {
      headers: { host: 'shop.example', 'request-id': 'r-1' },
    });
    return { status: statusCode, id: headers['request-id'], text: await body.text() };
  } catch (error) {
    return { status: 0, id: undefined, text: String(error) };
  } finally {
    listener.kill();
  }
};

// An exception in the request path reset the connection of the caller.
test('a request whose handling throws gets a complete answer', async () => {
  const { status, id, text } = await sendThrough(() => Promise.reject(new Error('a defect')));
  assert.is(status, 502, text);
  assert.is(id, 'r-1');
  assert.match(text, '"outcome":"unknown"');
});

// A defect before the request was forwarded ended as unknown, so that callers could not retry it.
test('a request whose handling throws before it is forwarded has not run', async () => {
  const { status, text } = await sendThrough(
    () => Promise.reject(new Error('not expected')),
    () => {
      throw new Error('a defect');
    },
  );
  assert.is(status, 503, text);
  assert.match(text, '"outcome":"not run"');
});

test('a response that has begun is cut when the handling throws', async () => {
  const { status } = await sendThrough((_, __, sink) => {
    sink.start(200, ['content-length', '10']);
    sink.write(Buffer.from('hello'));
    return Promise.reject(new Error('a defect'));
  });
  assert.is(status, 0);
});

test.run();
