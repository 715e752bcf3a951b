import {
  connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createEgressLink, splitAddress } from '../http/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  createPeerClient, createDispatchQueue, createPeerListener, createShutdownTracker,
  type GatewayRequest,
  MAX_BUFFERED_BYTES,
} from './mod.ts';

const test = suite('stop of a peer');

const clock = createSystemClock();
/** Delay of the link in each direction; longer than the stop of an idle listener. */
const LINK_DELAY_MS = 200;
/** Time after which a stopping listener has ended its idle connections. */
const STOP_MS = 100;
const GRACE_MS = 5000;

const forwardDelayed = (from: Socket, to: Socket) => {
  from.on('data', (chunk: Buffer) => {
    setTimeout(() => to.write(chunk), LINK_DELAY_MS);
  });
  from.on('end', () => {
    setTimeout(() => to.end(), LINK_DELAY_MS);
  });
  from.on('error', () => {
    setTimeout(() => to.resetAndDestroy(), LINK_DELAY_MS);
  });
};

/** Starts a link to an address on which everything arrives late. */
const startDelayedLink = async (address: string) => {
  const { host, port } = splitAddress(address);
  const counts = { connections: 0 };
  const server = await new Promise<Server>((resolve) => {
    const started = createServer({ allowHalfOpen: true }, (near) => {
      counts.connections += 1;
      const far = connect({ host, port, allowHalfOpen: true });
      forwardDelayed(near, far);
      forwardDelayed(far, near);
    });
    started.listen(0, '127.0.0.1', () => resolve(started));
  });
  return {
    counts, server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
  };
};

const startPeer = async () => {
  const shutdown = createShutdownTracker(clock);
  const runs: string[] = [];
  const listener = createPeerListener({
    clock,
    address: '127.0.0.1:0',
    dispatch: createDispatchQueue({ clock }),
    requestIdHeader: 'request-id',
    local: {
      forward: async ({ requestId }, sink) => {
        runs.push(requestId);
        sink.start(200, ['content-length', '4']);
        sink.write(Buffer.from('done'));
        sink.end();
        return { kind: 'answered', status: 200 };
      },
      recordRefusal: () => undefined,
      load: () => ({
        inFlight: 0, queued: 0, limit: 1, serviceRate: 0,
      }),
    },
    link: createEgressLink({
      clock, megabitsPerSecond: 1000, maxBufferedBytes: MAX_BUFFERED_BYTES,
    }),
    shutdown,
    logger: noopLogger,
    handleControlMessage: async () => undefined,
  });
  const link = await startDelayedLink(await listener.listen());
  const peers = createPeerClient({ clock, requestIdHeader: 'request-id' });
  const send = async (requestId: string) => {
    const request: GatewayRequest = {
      requestId,
      service: 'orders',
      kind: 'unsafe',
      priority: 1,
      workClass: 'unsafe/1/400',
      key: undefined,
      instance: 'i-1',
      method: 'POST',
      path: '/',
      headers: ['host', 'shop.example', 'request-id', requestId],
      body: Buffer.from('order'),
      deadlineAt: clock.now() + 3000,
      latencyTargetAt: clock.now() + 1000,
      isCallerRetry: false,
      withheld: 0,
      signal: new AbortController().signal,
    };
    const { outcome } = await peers.send(link.address, request, {
      start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
    });
    return outcome;
  };
  return {
    listener,
    shutdown,
    runs,
    send,
    isSuspect: () => peers.isSuspect(link.address),
    connections: () => link.counts.connections,
    close: async () => {
      listener.kill();
      await peers.close();
      link.server.close();
    },
  };
};

// A request on its way to a node that stopped was reset: its sender answered 502, not repeated.
test('a request in transit to a node that stops is refused as not run', async () => {
  const peer = await startPeer();
  assert.is((await peer.send('first')).kind, 'answered');
  peer.shutdown.leave(clock.now() + GRACE_MS);
  await peer.shutdown.close();
  const stopped = peer.listener.stop();
  await sleep(STOP_MS);
  const outcome = await peer.send('late');
  await stopped;
  await peer.close();
  assert.equal(peer.runs, ['first']);
  assert.is(peer.connections(), 1);
  assert.is(outcome.kind, 'refused');
  assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'not run');
  assert.is(peer.isSuspect(), true);
});

// Each request to a stopping node needed a new connection, and its node was taken for dead.
test('a node that still accepts requests keeps the connections of its peers', async () => {
  const peer = await startPeer();
  peer.shutdown.leave(clock.now() + GRACE_MS);
  for (const requestId of ['first', 'second', 'third']) {
    assert.is((await peer.send(requestId)).kind, 'answered');
    // The connection is idle in a later turn.
    await sleep(1);
  }
  await peer.close();
  assert.is(peer.connections(), 1);
});

// Each refusal was followed by the next request, which took the time to read those before.
test('a peer gets no requests after it has refused one because it stops', async () => {
  for (const isClosed of [false, true]) {
    const peer = await startPeer();
    assert.is((await peer.send('first')).kind, 'answered');
    assert.is(peer.isSuspect(), false);
    peer.shutdown.leave(clock.now() + GRACE_MS);
    const endRequest = peer.shutdown.trackRequest(clock.now() + GRACE_MS);
    const closed = peer.shutdown.close();
    if (isClosed) {
      endRequest();
      await closed;
    }
    const outcome = await peer.send('late');
    assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'not run');
    assert.is(peer.isSuspect(), true);
    endRequest();
    await peer.close();
  }
});

test.run();
