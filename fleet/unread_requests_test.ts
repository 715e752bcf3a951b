import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createShutdownTracker } from '../gateway/mod.ts';
import { createHttpServer, renderMalformed } from '../http/mod.ts';
import { createEndOwner } from '../lifecycle/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { blockEventLoop } from '../testing/block_event_loop.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createGracefulStop } from './_create_graceful_stop.ts';
import { createStopFallback } from './_stop_fallback.ts';

const test = suite('requests that are unread at the end of the process');

const GRACE_MS = 1200;
/** Keeps idle connections until the end of the grace time. */
const IDLE_GRACE_MS = 5000;
/** Time for which the event loop is late at the end of the stop. */
const BLOCK_MS = 400;
/** Time that the exit of a process takes. */
const EXIT_MS = 100;
const CONNECTIONS = 20;
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

/** Starts a node with one listener, whose connections are destroyed at the exit. */
const startNode = async () => {
  const clock = createSystemClock();
  const shutdown = createShutdownTracker(clock);
  let setExited = (_status: number) => undefined as void;
  const exited = new Promise<number>((resolve) => {
    setExited = resolve;
  });
  const ends = createEndOwner({ clock, logger: noopLogger, exit: (status) => setExited(status) });
  const server = createHttpServer({
    clock,
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: (request, response) => {
      request.resume();
      response.writeHead(shutdown.mayAccept(clock.now()) ? 200 : 503).end();
    },
    ends: ends.forListener('caller', () => undefined),
    mayEndAfter: () => shutdown.phase() !== 'running',
    renderMalformed,
  });
  const stop = createGracefulStop({
    clock,
    graceMs: GRACE_MS,
    shutdown,
    ends,
    listeners: [server],
    announceStop: () => undefined,
    logger: noopLogger,
  });
  const address = await server.listen();
  return {
    address,
    shutdown,
    stop: async (exit = async () => undefined as void) => {
      await stop({ sinceMs: 0, isPlanned: false });
      await exit();
      server.kill();
    },
    /** Ends the process by a stop that fails, and resolves to its exit status. */
    failStop: async () => {
      ends.setStop(() => Promise.reject(new Error('injected failure')), createStopFallback({
        clock, graceMs: GRACE_MS, shutdown, ends, listeners: [server], logger: noopLogger,
      }));
      ends.endProcess({ reason: 'signal', status: 0 });
      const status = await exited;
      server.kill();
      return status;
    },
  };
};

// Guards against connections that are reset at the exit, whose requests had arrived while the last
// timer of the stop was late.
test('requests that arrived before the exit are refused', async () => {
  const node = await startNode();
  node.shutdown.trackRequest(Infinity);
  const connections = Array.from({ length: CONNECTIONS }, () => openConnection(node.address));
  await Promise.all(connections.map(({ socket }) => once(socket, 'connect')));
  const stopped = node.stop();
  // The last timer of the stop is due before the event loop reads again.
  setTimeout(() => {
    setImmediate(() => {
      for (const { socket } of connections) socket.write(REQUEST);
      blockEventLoop(BLOCK_MS);
    });
  }, GRACE_MS - 650);
  await stopped;
  for (const { closed, received } of connections) {
    await closed;
    assert.match(received(), /^HTTP\/1\.1 503 /u);
  }
});

// Guards against connections that are reset at the exit after a stop that has failed as a whole:
// those that have just been established, and idle ones on which a request arrives.
for (const isOpen of [false, true]) {
  const what = isOpen ? 'requests on open connections' : 'connections that are not accepted yet';
  test(`${what} are refused at the exit after a stop that failed`, async () => {
    const node = await startNode();
    const open = () => Array.from({ length: CONNECTIONS }, () => openConnection(node.address));
    const connections = open();
    if (isOpen) await Promise.all(connections.map(({ socket }) => once(socket, 'connect')));
    // In this turn, the system establishes the connections, and the listener does not accept them.
    else await new Promise(process.nextTick);
    const startedAt = performance.now();
    const ended = node.failStop();
    for (const { socket } of connections) socket.write(REQUEST);
    assert.is(await ended, 1);
    assert.ok(performance.now() - startedAt < GRACE_MS);
    for (const { closed, received, error } of connections) {
      await closed;
      assert.match(received(), /^HTTP\/1\.1 503 /u, error());
    }
  });
}

test('a request that is never complete does not keep a failed stop from its exit', async () => {
  const node = await startNode();
  const startedAt = performance.now();
  const { socket } = openConnection(node.address);
  await once(socket, 'connect');
  socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n');
  assert.is(await node.failStop(), 1);
  assert.ok(performance.now() - startedAt < GRACE_MS);
});

// Guards against requests that clients send while the process exits, on connections that are still
// open to them.
test('connections without a request are closed before the exit', async () => {
  const node = await startNode();
  node.shutdown.trackRequest(Infinity);
  const connections = Array.from({ length: CONNECTIONS }, () => openConnection(node.address));
  await Promise.all(connections.map(({ socket }) => once(socket, 'connect')));
  for (const { socket } of connections.slice(CONNECTIONS / 2)) socket.write('GET / HTTP/1.1\r\n');
  const exit = { isBegun: false };
  const atExit: (string | undefined)[] = [];
  for (const { socket, error } of connections.slice(0, CONNECTIONS / 2)) {
    socket.once('close', () => atExit.push(exit.isBegun ? 'open at the exit' : error()));
  }
  const stopped = node.stop(async () => {
    await sleep(EXIT_MS);
    exit.isBegun = true;
  });
  await stopped;
  await Promise.all(connections.map(({ closed }) => closed));
  assert.equal(atExit, Array.from({ length: CONNECTIONS / 2 }, () => ''));
});

// Guards against an exit that waits for clients whose requests are never complete.
test('a request that is never complete does not delay the exit beyond the grace time', async () => {
  const node = await startNode();
  const startedAt = performance.now();
  const { socket } = openConnection(node.address);
  await once(socket, 'connect');
  socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n');
  await node.stop();
  assert.ok(performance.now() - startedAt < GRACE_MS);
});

test.run();
