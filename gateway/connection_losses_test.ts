import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import { createInstanceClient } from './instance_client.ts';
import type { GatewayRequest } from './request.ts';

const test = suite('connection losses');

const clock = createSystemClock();
const ANSWER = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
  + 'content-length: 5\r\n\r\nhello';
const SETTLE_MS = 60;

const sink: ResponseSink = {
  start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
};

const createRequest = (): GatewayRequest => ({
  requestId: 'r1',
  service: 'ledger',
  kind: 'safe',
  priority: 1,
  workClass: 'safe/1/300',
  key: undefined,
  instance: 'i-1',
  method: 'GET',
  path: '/a/1',
  headers: ['Host', 'shop.example', 'Request-Id', 'r1'],
  body: null,
  deadlineAt: clock.now() + 1000,
  latencyTargetAt: clock.now() + 300,
  isCallerRetry: false,
  withheld: 0,
  signal: new AbortController().signal,
});

/** Opens two connections to an instance, ends them, and counts the reported losses. */
const countLosses = async (end: (sockets: readonly Socket[]) => void, isAnswering: boolean) => {
  const sockets: Socket[] = [];
  const server = await new Promise<Server>((resolve) => {
    const started = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', () => {
        if (isAnswering) socket.write(ANSWER);
      });
    });
    started.listen(0, '127.0.0.1', () => resolve(started));
  });
  let losses = 0;
  let sent = 0;
  const client = createInstanceClient({
    clock,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    instance: 'i-1',
    connections: 2,
    headers: {
      requestId: 'request-id',
      remainingMs: 'deadline-ms',
      signature: 'response-seal',
      expectedInstance: 'expect-instance',
      notRun: 'not-executed',
    },
    onConnectionRefused: () => undefined,
    onConnectionsLost: () => {
      losses += 1;
    },
  });
  const requests = [1, 2].map(() => client.send(createRequest(), sink, () => {
    sent += 1;
  }));
  if (isAnswering) await Promise.all(requests);
  else while (sockets.length < 2 || sent < 2) await clock.sleep(5);
  end(sockets);
  await Promise.all(requests);
  await clock.sleep(SETTLE_MS);
  client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  return { losses, sent };
};

// Guards against full load on an instance that was restarted: its connections end all at once.
test('the loss of all connections is reported, whether they were idle or not', async () => {
  const ends: readonly ((sockets: readonly Socket[]) => void)[] = [
    (sockets) => sockets.forEach((socket) => socket.destroy()),
    (sockets) => sockets.forEach((socket) => socket.resetAndDestroy()),
  ];
  for (const end of ends) {
    for (const isAnswering of [true, false]) {
      const { losses, sent } = await countLosses(end, isAnswering);
      assert.ok(losses > 0, `answering: ${isAnswering}`);
      assert.is(sent, 2);
    }
  }
});

// Guards against a limit on instances that close a connection now and then.
test('the end of a single connection is not reported', async () => {
  const { losses, sent } = await countLosses(([first]) => first!.end(), true);
  assert.is(losses, 0);
  assert.is(sent, 2);
});

test.run();
