import { once } from 'node:events';
import { connect } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import { createEgressLink, splitAddress } from '../http/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  createPeerClient, createDispatchQueue, createPeerListener, createShutdownTracker,
  type GatewayRequest,
} from './mod.ts';

const test = suite('close of a connection between nodes');

const clock = createSystemClock();

/** A connection is reused from the turn after its last response on. */
const REUSE_DELAY_MS = 20;

const LARGE_BODY = Buffer.alloc(8_388_608, 'x');

const requestOf = (
  requestId: string,
  kind: RouteKind,
  body: Buffer | null,
): GatewayRequest => ({
  requestId,
  service: 'orders',
  kind,
  priority: 1,
  workClass: kind,
  key: undefined,
  instance: undefined,
  method: kind === 'unsafe' ? 'POST' : 'GET',
  path: `/${requestId}`,
  headers: ['host', 'shop.example', 'request-id', requestId],
  body,
  deadlineAt: clock.now() + 1000,
  latencyTargetAt: clock.now() + 300,
  isCallerRetry: false,
  withheld: 0,
  signal: new AbortController().signal,
});

const discard: ResponseSink = {
  start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
};

const cleanUps: (() => unknown)[] = [];

/** Starts a listener whose instance answers at once. */
const setUp = async (listenerClock = clock) => {
  const ran: string[] = [];
  const shutdown = createShutdownTracker(clock);
  const listener = createPeerListener({
    clock: listenerClock,
    address: '127.0.0.1:0',
    dispatch: createDispatchQueue({ clock }),
    requestIdHeader: 'request-id',
    local: {
      forward: async ({ requestId }, sink) => {
        ran.push(requestId);
        sink.start(200, ['content-length', '0']);
        sink.end();
        return { kind: 'answered', status: 200 };
      },
      recordRefusal: () => undefined,
      load: () => ({
        inFlight: 0, queued: 0, limit: 1, serviceRate: 0,
      }),
    },
    link: createEgressLink({ clock, megabitsPerSecond: 1000, maxBufferedBytes: 1_000_000 }),
    shutdown,
    logger: noopLogger,
    handleControlMessage: async () => undefined,
  });
  const address = await listener.listen();
  const peers = createPeerClient({ clock, requestIdHeader: 'request-id' });
  cleanUps.push(listener.kill, peers.close);
  return {
    address,
    ran,
    send: async (requestId: string, kind: RouteKind, body: Buffer | null) => {
      const { outcome } = await peers.send(address, requestOf(requestId, kind, body), discard);
      return outcome.kind === 'refused' ? outcome.refusal.outcome : outcome.kind;
    },
    stop: () => {
      shutdown.leave(clock.now() + 1000);
      shutdown.close();
      return listener.stop();
    },
  };
};

test.after.each(async () => {
  for (const cleanUp of cleanUps.splice(0)) await cleanUp();
});

const requests: readonly (readonly [RouteKind, Buffer | null])[] = [
  ['safe', null], ['unsafe', Buffer.from('order')], ['unsafe', LARGE_BODY],
];

// The connection was reset: an unsafe request was answered with 502 although it had not run.
for (const [kind, body] of requests) {
  const bytes = body?.length ?? 0;
  test(`the close refuses a crossing ${kind} request with ${bytes} bytes as not run`, async () => {
    let closeIdleConnections = () => undefined as void;
    const path = await setUp({
      ...clock,
      schedule: (_, run) => {
        closeIdleConnections = run;
        return () => undefined;
      },
    });
    assert.is(await path.send('first', kind, null), 'answered');
    await clock.sleep(REUSE_DELAY_MS);
    const stopped = path.stop();
    const sent = path.send('crossing', kind, body);
    // undici writes the request in this phase of the event loop, and the listener has not read it.
    await setImmediate();
    closeIdleConnections();
    assert.is(await sent, 'not run');
    assert.equal(path.ran, ['first']);
    await stopped;
  });
}

// The connection was reset, which left the outcome of an unsafe request unknown.
test('a request whose body is late is refused as not run', async () => {
  const path = await setUp();
  const { host, port } = splitAddress(path.address);
  const socket = connect(port, host).setEncoding('latin1').on('error', () => undefined);
  const hop = JSON.stringify(['orders', 'unsafe', 1, 'unsafe', 200, 200, null, null, 0]);
  let received = '';
  socket.on('data', (chunk: string) => {
    received += chunk;
  });
  socket.write([
    'POST /late HTTP/1.1', 'host: shop.example', 'request-id: late', `mh-hop: ${hop}`,
    'content-length: 5', '\r\nord',
  ].join('\r\n'));
  const closed = once(socket, 'close');
  await Promise.race([once(socket, 'data'), closed]);
  assert.match(received, /^HTTP\/1\.1 503 .*mh-outcome: not run/isu);
  // A promise that the request never runs, also if the rest of its body arrives.
  socket.write('er');
  await closed;
  assert.equal(path.ran, []);
});

test.run();
