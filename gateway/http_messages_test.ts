import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { abortOnClose } from './_http_messages.ts';
import { createDispatchQueue } from './dispatch_queue.ts';

const test = suite('http messages');

const dispatch = createDispatchQueue({ clock: createSystemClock() });

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

/** Sends a request and its end in one turn, and returns whether the server took it for wanted. */
const sendAndLeave = async (leave: 'end' | 'destroy' | 'resetAndDestroy', isKept: boolean) => {
  let isWanted: boolean | undefined;
  let isFirst = isKept;
  const handle = async (response: ServerResponse) => {
    const signal = abortOnClose(response);
    const decision = await dispatch.wait({
      priority: 1,
      isFromPeer: false,
      isFirstOnConnection: !isKept,
      deadlineAt: Infinity,
      latencyTargetAt: Infinity,
      isGone: () => signal.aborted,
    });
    isWanted = decision === 'forward';
  };
  const server = createServer((_: IncomingMessage, response) => {
    if (isFirst) response.end('done');
    else handle(response);
    isFirst = false;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  if (isKept) {
    socket.write(REQUEST);
    await once(socket, 'data');
  }
  await sleep(20);
  socket.write(REQUEST);
  socket[leave]();
  await sleep(50);
  server.closeAllConnections();
  server.close();
  return isWanted;
};

// A request that had waited to be read ran at an instance after its caller had left.
test('a request that is read together with the end of its connection is not wanted', async () => {
  for (const leave of ['end', 'destroy'] as const) {
    for (const isKept of [false, true]) {
      assert.is(await sendAndLeave(leave, isKept), false, `${leave}, kept ${isKept}`);
    }
  }
});

// A reset may discard the request before it is read.
test('a request that is read together with a reset is not wanted', async () => {
  for (const isKept of [false, true]) {
    assert.is(await sendAndLeave('resetAndDestroy', isKept) ?? false, false, `kept ${isKept}`);
  }
});

test('a connection has no listeners of requests that have ended', async () => {
  const counts: number[] = [];
  const server = createServer(({ socket }, response) => {
    abortOnClose(response);
    counts.push(socket.listenerCount('end'));
    response.end('done');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  for (let sent = 0; sent < 3; sent += 1) {
    socket.write(REQUEST);
    await once(socket, 'data');
    await sleep(1);
  }
  socket.destroy();
  server.close();
  assert.is(new Set(counts).size, 1, counts.join(' '));
});

test.run();
