import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { openConnection } from '../testing/open_connection.ts';

const test = suite('accept queue of a listening socket');

const CONNECTIONS = 5;

const startServer = async () => {
  let acceptedCount = 0;
  const server = createServer((socket) => {
    acceptedCount += 1;
    socket.on('error', () => undefined);
    socket.end('accepted');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    server,
    acceptedCount: () => acceptedCount,
    open: () => openConnection(`127.0.0.1:${port}`),
  };
};

// The stop of a server relies on this: nothing but a close in the turn that has found the queue
// empty spares a client the reset.
test('a close resets the connections that the process has not accepted', async () => {
  const { server, acceptedCount, open } = await startServer();
  await sleep(0);
  // The kernel establishes them at once, before the event loop polls again.
  const connections = Array.from({ length: CONNECTIONS }, open);
  await new Promise(process.nextTick);
  server.close();
  for (const { closed, received, error } of connections) {
    await closed;
    assert.is(received(), '');
    assert.match(error(), /ECONNRESET/u);
  }
  assert.is(acceptedCount(), 0);
});

// The stop of a server accepts one connection a turn before it closes its listening socket.
test('one connection is accepted in each turn of the event loop', async () => {
  const { server, acceptedCount, open } = await startServer();
  const connections = Array.from({ length: CONNECTIONS }, open);
  await new Promise(process.nextTick);
  let turns = 0;
  while (acceptedCount() < CONNECTIONS) {
    await new Promise(setImmediate);
    turns += 1;
    assert.ok(acceptedCount() <= turns);
  }
  server.close();
  await Promise.all(connections.map(({ closed }) => closed));
});

test.run();
