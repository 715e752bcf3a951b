import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { RequestOrigin } from '../admission/mod.ts';
import { createSystemClock } from '../clock/mod.ts';
import type { PublishedRoute } from '../contract/mod.ts';
import { createEgressLink, splitAddress } from '../http/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { isMet } from '../testing/is_met.ts';
import { HOP_HEADER } from './_hop_header.ts';
import {
  type CallerListenerOptions, createCallerListener, createDispatchQueue, createPeerListener,
  createRouteTable, createShutdownTracker, MAX_BUFFERED_BYTES,
} from './mod.ts';

const test = suite('late requests');

const clock = createSystemClock();
const GRACE_MS = 5000;
/** Less than the deadline of a request, at which its missing body would be refused, too. */
const ANSWER_LIMIT_MS = 300;

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

const createLink = () => createEgressLink({
  clock, megabitsPerSecond: 1000, maxBufferedBytes: MAX_BUFFERED_BYTES,
});

const startCallerListener = async (
  callDetector?: CallerListenerOptions['callDetector'],
  workMs = 0,
) => {
  const shutdown = createShutdownTracker(clock);
  const table = createRouteTable({ revision: 1, routes: [route], services: new Map() });
  let sends = 0;
  let cancelled = 0;
  const listener = createCallerListener({
    clock,
    dispatch: createDispatchQueue({ clock }),
    address: '127.0.0.1:0',
    headers: {
      requestId: 'request-id', remainingMs: 'deadline-ms', callerService: 'caller', key: 'key',
    },
    callerService: () => 'orders',
    routes: () => table,
    sender: {
      send: async ({ signal }, __, sink) => {
        sends += 1;
        signal.addEventListener('abort', () => {
          cancelled += 1;
        });
        if (workMs > 0) await sleep(workMs);
        sink.start(200, ['content-length', '0']);
        sink.end();
        return { kind: 'answered', status: 200 };
      },
      refuseEarly: () => undefined,
    },
    shutdown,
    callDetector,
    link: createLink(),
    logger: noopLogger,
    random: () => 0,
  });
  return {
    listener,
    shutdown,
    sends: () => sends,
    cancelled: () => cancelled,
    address: await listener.listen(),
  };
};

const startPeerListener = async () => {
  const shutdown = createShutdownTracker(clock);
  let loads = 0;
  let forwards = 0;
  const listener = createPeerListener({
    clock,
    address: '127.0.0.1:0',
    dispatch: createDispatchQueue({ clock }),
    requestIdHeader: 'request-id',
    local: {
      forward: async (_, sink) => {
        forwards += 1;
        sink.start(200, ['content-length', '0']);
        sink.end();
        return { kind: 'answered', status: 200 };
      },
      recordRefusal: () => undefined,
      load: () => {
        loads += 1;
        return {
          inFlight: 0, queued: 0, limit: 1, serviceRate: 0,
        };
      },
    },
    link: createLink(),
    shutdown,
    logger: noopLogger,
    handleControlMessage: async () => undefined,
  });
  return {
    listener,
    shutdown,
    forwards: () => forwards,
    loads: () => loads,
    address: await listener.listen(),
  };
};

/** Sends a head whose body stays out, and returns what is received until the time limit. */
const sendHead = async (address: string, ...fields: readonly string[]) => {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host).on('error', () => undefined);
  let received = '';
  socket.on('data', (data) => {
    received += data.toString();
  });
  socket.write([
    'POST /orders/a HTTP/1.1', 'host: shop.example', 'request-id: late', ...fields,
    'content-length: 5', '\r\n',
  ].join('\r\n'));
  await Promise.race([once(socket, 'data'), sleep(ANSWER_LIMIT_MS)]);
  return {
    received: () => received,
    sendBody: async () => {
      socket.write('order');
      await Promise.race([once(socket, 'data'), sleep(ANSWER_LIMIT_MS)]);
    },
    endSide: () => socket.end(),
    close: () => socket.destroy(),
  };
};

/** Lets a tracker close while one request is in flight. */
const closeWhileBusy = (shutdown: ReturnType<typeof createShutdownTracker>) => {
  shutdown.leave(clock.now() + GRACE_MS);
  shutdown.trackRequest(clock.now() + GRACE_MS);
  shutdown.close();
};

// A caller's request that a closing node took late was run, and lost its connection unanswered.
for (const origin of [undefined, 'unsure', 'caller', 'call'] as const) {
  test(`a closing node refuses a request of unproven origin (${origin}) at its head`, async () => {
    const writtenInTurn: number[] = [];
    const classify = ({ connection }: { readonly connection: object }): RequestOrigin => {
      const socket = connection as Socket;
      queueMicrotask(() => writtenInTurn.push(socket.bytesWritten));
      return origin ?? 'unsure';
    };
    const isProven = () => origin !== 'call';
    const node = await startCallerListener(origin && {
      classify, isProven, isCallConnection: () => false, trackResponse: () => () => undefined,
    });
    closeWhileBusy(node.shutdown);
    const late = await sendHead(node.address, 'deadline-ms: 900');
    assert.match(late.received(), /^HTTP\/1\.1 503 [^]*retry-after: [^]*"outcome":"not run"/u);
    assert.is(node.shutdown.activeRequests(), 1);
    assert.is(node.sends(), 0);
    if (origin !== undefined) assert.ok(writtenInTurn[0]! > 0, 'answered in a later turn');
    late.close();
    node.listener.kill();
  });
}

// Guards against running requests that fail since the calls that they make are refused.
test('a closing node serves a proven call that ends with a request in flight', async () => {
  const node = await startCallerListener({
    classify: () => 'call',
    isProven: () => true,
    isCallConnection: () => true,
    trackResponse: () => () => undefined,
  });
  closeWhileBusy(node.shutdown);
  const call = await sendHead(node.address, 'deadline-ms: 900');
  assert.is(call.received(), '');
  assert.is(node.shutdown.activeRequests(), 2);
  await call.sendBody();
  assert.match(call.received(), /^HTTP\/1\.1 200 /u);
  assert.is(node.sends(), 1);
  call.close();
  node.listener.kill();
});

// A call that a closing node had taken ran on after an exception, though its client had left.
for (const isPlanned of [false, true]) {
  const what = isPlanned ? 'runs on in a planned stop' : 'is cancelled after an exception';
  test(`a proven call that a FIN follows ${what}`, async () => {
    const node = await startCallerListener({
      classify: () => 'call',
      isProven: () => true,
      isCallConnection: () => true,
      trackResponse: () => () => undefined,
    }, ANSWER_LIMIT_MS / 2);
    if (isPlanned) node.shutdown.markPlanned();
    node.shutdown.leave(clock.now() + GRACE_MS);
    const endBusy = node.shutdown.trackRequest(clock.now() + GRACE_MS);
    const closed = node.shutdown.close();
    const call = await sendHead(node.address, 'deadline-ms: 900');
    const answered = call.sendBody();
    assert.ok(await isMet(() => node.sends() === 1));
    call.endSide();
    await answered;
    assert.is(node.cancelled(), isPlanned ? 0 : 1);
    if (isPlanned) assert.match(call.received(), /^HTTP\/1\.1 200 /u);
    else assert.is(call.received(), '');
    assert.is(node.shutdown.activeRequests(), 1);
    endBusy();
    await closed;
    call.close();
    node.listener.kill();
  });
}

// A leaving node ended the connections of its instance's calls, and with them what proves them.
test('a stopping node keeps the connections that are known for calls', async () => {
  for (const isCallConnection of [false, true]) {
    const detector = {
      classify: () => 'call' as const,
      isProven: () => true,
      trackResponse: () => () => undefined,
      isCallConnection: () => isCallConnection,
    };
    const node = await startCallerListener(detector);
    node.shutdown.leave(clock.now() + GRACE_MS);
    const call = await sendHead(node.address, 'deadline-ms: 900');
    await call.sendBody();
    const expected = isCallConnection ? 'keep-alive' : 'close';
    assert.match(call.received().toLowerCase(), `connection: ${expected}\r\n`);
    call.close();
    node.listener.kill();
  }
});

// A closing node read the bodies of requests from peers, and let them wait, before their refusal.
test('a closing node refuses the request of a peer before its body has been read', async () => {
  const node = await startPeerListener();
  closeWhileBusy(node.shutdown);
  const hop = JSON.stringify(['orders', 'unsafe', 1, 'short', 900, 300, null, null, 0]);
  const late = await sendHead(node.address, `${HOP_HEADER}: ${hop}`);
  const received = late.received();
  assert.match(received, /^HTTP\/1\.1 503 /u);
  assert.match(received, /\r\nmh-outcome: not run\r\n/iu);
  assert.match(received, /\r\nmh-stopping: 1\r\n/iu);
  assert.match(received, /\r\nrequest-id: late\r\n/iu);
  assert.is(node.loads(), 1);
  assert.is(node.shutdown.activeRequests(), 1);
  assert.is(node.forwards(), 0);
  late.close();
  node.listener.kill();
});

// Guards against a refusal of what a node that still accepts requests has begun to read.
test('a leaving node serves the requests of callers and peers', async () => {
  const caller = await startCallerListener();
  const peer = await startPeerListener();
  const hop = JSON.stringify(['orders', 'unsafe', 1, 'short', 900, 300, null, null, 0]);
  for (const { shutdown, listener, address } of [caller, peer]) {
    shutdown.leave(clock.now() + GRACE_MS);
    const request = await sendHead(address, 'deadline-ms: 900', `${HOP_HEADER}: ${hop}`);
    assert.is(request.received(), '');
    await request.sendBody();
    assert.match(request.received(), /^HTTP\/1\.1 200 /u);
    request.close();
    listener.kill();
  }
});

test.run();
