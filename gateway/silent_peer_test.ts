import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { encodeRefusal } from '../forward/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import {
  createPeerClient, createRequestSender, createServiceRetryBudget, type GatewayRequest,
} from './mod.ts';

const test = suite('silent peer');

const clock = createSystemClock();
/** Longer than the silence after which another peer is tried. */
const SILENCE_MS = 1200;
const DEADLINE_MS = 2500;

const startPeer = async (listener: RequestListener) => {
  const server = await new Promise<Server>((resolve) => {
    const started = createServer(listener);
    started.listen(0, '127.0.0.1', () => resolve(started));
  });
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

const answer = (text: string, delayMs = 0): RequestListener => (_, response) => {
  setTimeout(() => response.end(text), delayMs);
};

const refuse: RequestListener = (_, response) => {
  const { refusal } = refuseNotRun('no slot is free', 100, { step: 'admission.acquire' });
  response.writeHead(refusal.status, [...encodeRefusal(refusal)]);
  response.end();
};

/** Sends a request to the first peer and, if it is tried again, to the following ones. */
const sendThrough = async (
  listeners: readonly RequestListener[],
  { key, retries }: { readonly key?: number; readonly retries: number },
) => {
  const started = await Promise.all(listeners.map(startPeer));
  const peers = createPeerClient({ clock, requestIdHeader: 'request-id' });
  let received = '';
  let startedStatus: number | undefined;
  let deliveredStatus: number | undefined;
  let retriesLeft = retries;
  const sender = createRequestSender({
    clock,
    chooser: {
      choose: (_, excluded) => {
        const next = started.find(({ address }) => !excluded.has(address));
        if (next === undefined) return { kind: 'none', reason: 'no peer left', retryAfterMs: 50 };
        const { address } = next;
        return {
          kind: 'peer', node: address, address, instance: address, reason: 'next', version: 0,
        };
      },
      report: () => undefined,
    },
    local: {
      forward: () => Promise.reject(new Error('not used')),
      recordRefusal: () => undefined,
      load: () => ({
        inFlight: 0, queued: 0, limit: 1, serviceRate: 0,
      }),
    },
    peers,
    retryBudget: {
      deposit: () => undefined,
      withdraw: () => {
        retriesLeft -= 1;
        return retriesLeft >= 0;
      },
    },
    failoverBudget: createServiceRetryBudget({
      clock, ratio: 1, extraRetries: 40, windowMs: 10_000, nodeCount: () => 1,
    }),
    logger: noopLogger,
  });
  const request: GatewayRequest = {
    requestId: 'r-1',
    service: 'orders',
    kind: 'safe',
    priority: 1,
    workClass: 'safe/1/400',
    key,
    instance: undefined,
    method: 'GET',
    path: '/',
    headers: ['host', 'shop.example'],
    body: null,
    deadlineAt: clock.now() + DEADLINE_MS,
    latencyTargetAt: clock.now() + 400,
    isCallerRetry: false,
    withheld: 0,
    signal: new AbortController().signal,
  };
  const outcome = await sender.send(request, 2, {
    start: (status) => {
      startedStatus = status;
      return 'deliver';
    },
    write: (chunk) => {
      deliveredStatus ??= startedStatus;
      received += chunk.toString();
      return true;
    },
    onDrain: () => undefined,
    end: () => undefined,
  });
  await peers.close();
  for (const { server } of started) {
    server.closeAllConnections();
    server.close();
  }
  return {
    kind: outcome.kind, received, outcome, deliveredStatus,
  };
};

// A full link delayed all answers of a peer; runs were broken off and answered with 502.
test('a request to a silent peer goes on when it cannot be retried', async () => {
  for (const key of [undefined, 7]) {
    const { kind, received, outcome } = await sendThrough([answer('late', SILENCE_MS), refuse], {
      key, retries: key === undefined ? 0 : 1,
    });
    assert.is(kind, 'answered', `key ${key}: ${JSON.stringify(outcome)}`);
    assert.is(received, 'late');
  }
});

test('a request to a silent peer goes on when its retry is refused', async () => {
  const { kind, received } = await sendThrough([answer('late', SILENCE_MS), refuse], {
    retries: 1,
  });
  assert.is(kind, 'answered');
  assert.is(received, 'late');
});

test('a request to a silent peer is answered by the peer that is tried next', async () => {
  const { kind, received } = await sendThrough([answer('late', 2 * SILENCE_MS), answer('next')], {
    retries: 1,
  });
  assert.is(kind, 'answered');
  assert.is(received, 'next');
});

/** Sends the head of an error, and resets the connection in place of its body. */
const breakOff: RequestListener = (_, response) => {
  response.writeHead(500, { 'content-length': 5 });
  response.flushHeaders();
  setTimeout(() => response.socket?.resetAndDestroy(), 50);
};

// Guards against a run that is broken off for a response that never comes, and answered with 502.
test('a request to a silent peer goes on when another response ends after its head', async () => {
  const { kind, received } = await sendThrough([answer('late', 1.5 * SILENCE_MS), breakOff], {
    retries: 1,
  });
  assert.is(kind, 'answered');
  assert.is(received, 'late');
});

// Guards against the head of one response before the body of another.
test('a request gets the head of the response whose body comes first', async () => {
  const { received, deliveredStatus } = await sendThrough([
    (_, response) => {
      setTimeout(() => {
        response.writeHead(203, { 'content-length': 4 });
        response.flushHeaders();
      }, SILENCE_MS);
      setTimeout(() => response.end('late'), SILENCE_MS + 500);
    },
    (_, response) => {
      setTimeout(() => {
        response.writeHead(500, { 'content-length': 5 });
        response.flushHeaders();
      }, 500);
    },
  ], { retries: 1 });
  assert.is(received, 'late');
  assert.is(deliveredStatus, 203);
});

// Guards against an error that takes the place of a success whose head has come.
test('a request gets a response that has begun before the error of another peer', async () => {
  const { received, deliveredStatus } = await sendThrough([
    (_, response) => {
      setTimeout(() => {
        response.writeHead(200, { 'content-length': 4 });
        response.flushHeaders();
      }, SILENCE_MS);
      setTimeout(() => response.end('late'), SILENCE_MS + 500);
    },
    (_, response) => {
      setTimeout(() => {
        response.writeHead(500);
        response.end('error');
      }, SILENCE_MS - 700);
    },
  ], { retries: 1 });
  assert.is(received, 'late');
  assert.is(deliveredStatus, 200);
});

test('of two answers only the first is delivered', async () => {
  const { kind, received } = await sendThrough(
    [answer('late', SILENCE_MS), answer('later', SILENCE_MS)],
    { retries: 1 },
  );
  assert.is(kind, 'answered');
  assert.is(received, 'late');
});

test('a request to a peer that stays silent times out at its deadline', async () => {
  const { outcome } = await sendThrough([() => undefined], { retries: 0 });
  assert.is(outcome.kind === 'refused' && outcome.refusal.status, 504);
  assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'unknown');
});

test.run();
