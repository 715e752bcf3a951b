import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createPeerClient, type GatewayRequest } from './mod.ts';

const test = suite('suspicion of peers');

const clock = createSystemClock();
/** Longer than the silence after which a peer is suspected. */
const SILENCE_MS = 1100;

const servers: Server[] = [];

test.after(() => {
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

const startServer = (listener: RequestListener) => new Promise<Server>((resolve) => {
  const server = createServer(listener);
  servers.push(server);
  server.listen(0, '127.0.0.1', () => resolve(server));
});

const setUp = () => {
  const suspected: string[] = [];
  const peers = createPeerClient({
    clock,
    requestIdHeader: 'request-id',
    onSuspect: (_, reason) => suspected.push(reason),
  });
  const send = async (address: string, path: string, signal = new AbortController().signal) => {
    const request: GatewayRequest = {
      requestId: 'r-1',
      service: 'orders',
      kind: 'safe',
      priority: 1,
      workClass: 'safe/1/400',
      key: undefined,
      instance: 'i-1',
      method: 'GET',
      path,
      headers: ['host', 'shop.example'],
      body: null,
      deadlineAt: clock.now() + 3000,
      latencyTargetAt: clock.now() + 400,
      isCallerRetry: false,
      withheld: 0,
      signal,
    };
    const { outcome } = await peers.send(address, request, {
      start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
    }, () => undefined);
    return outcome.kind;
  };
  return { suspected, peers, send };
};

const addressOf = (server: Server) => `127.0.0.1:${(server.address() as AddressInfo).port}`;

const answerExceptSilent: RequestListener = (request, response) => {
  if (request.url !== '/silent') response.end('done');
};

// Requests for the keys of a peer were refused while it answered others of the same node.
test('a peer that answers other requests is not suspected', async () => {
  const server = await startServer(answerExceptSilent);
  const address = addressOf(server);
  const { suspected, peers, send } = setUp();
  const caller = new AbortController();
  const silent = send(address, '/silent', caller.signal);
  await sleep(SILENCE_MS / 2);
  assert.is(await send(address, '/other'), 'answered');
  await sleep(SILENCE_MS / 2);
  assert.is(peers.isSuspect(address), false);
  assert.equal(suspected, []);
  caller.abort();
  await silent;
  await peers.close();
});

test('an answer ends the suspicion of a silent peer', async () => {
  const server = await startServer(answerExceptSilent);
  const address = addressOf(server);
  const { suspected, peers, send } = setUp();
  const caller = new AbortController();
  const silent = send(address, '/silent', caller.signal);
  await sleep(SILENCE_MS);
  assert.is(peers.isSuspect(address), true);
  assert.is(suspected.length, 1);
  assert.is(await send(address, '/other'), 'answered');
  assert.is(peers.isSuspect(address), false);
  caller.abort();
  await silent;
  await peers.close();
});

// A restarted peer got no requests for up to 1.2 s after the last refused connection.
test('a new process at the address of a peer is not suspected', async () => {
  const former = await startServer(answerExceptSilent);
  const address = addressOf(former);
  former.close();
  const { peers, send } = setUp();
  peers.retain(new Map([[address, 1]]));
  assert.is(await send(address, '/other'), 'refused');
  assert.is(peers.isSuspect(address), true);
  peers.retain(new Map([[address, 2]]));
  assert.is(peers.isSuspect(address), false);
  await peers.close();
});

test.run();
