import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Clock, createSystemClock } from '../clock/mod.ts';
import { type ConnectionEnds, unrecordedEnds } from '../lifecycle/mod.ts';
import { blockEventLoop } from '../testing/block_event_loop.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, renderMalformed } from './mod.ts';

const test = suite('stop of the http server');

const IDLE_GRACE_MS = 50;
/** Time after which the server has sent its final response on all idle connections. */
const FINAL_MS = 200;
const CONNECTIONS = 20;
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const FINAL_RESPONSE = 'HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\r\n';

const startServer = async (
  renderFinal?: () => string,
  handlingMs = 0,
  clock: Clock = createSystemClock(),
  ends?: ConnectionEnds,
) => {
  const paths: string[] = [];
  const server = createHttpServer({
    clock,
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: ({ url }, response) => {
      paths.push(url ?? '');
      blockEventLoop(handlingMs);
      response.end('done');
    },
    renderMalformed,
    ...(renderFinal === undefined ? {} : { renderFinal }),
    ...(ends === undefined ? {} : { ends }),
  });
  const address = await server.listen();
  return { server, paths, open: () => openConnection(address) };
};

// Node.js accepts one connection a turn; the stop reset all others, whose requests were in transit.
test('connections that are established when the server stops are served', async () => {
  const { server, open } = await startServer();
  const connections = Array.from({ length: CONNECTIONS }, open);
  for (const { socket } of connections) socket.write(REQUEST);
  await new Promise(process.nextTick);
  await server.stop();
  for (const { closed, received, error } of connections) {
    await closed;
    assert.is(error(), '');
    assert.match(received(), /^HTTP\/1\.1 200 .*done$/su);
  }
});

// Guards against connections in the backlog that a stop resets, since it accepts connections for a
// second only, and handles a request of those before them in each turn.
for (const [name, handlingMs] of [['slow', 8], ['very slow', 30]] as const) {
  test(`connections in the backlog of a ${name} server are served when it stops`, async () => {
    const { server, open } = await startServer(undefined, handlingMs);
    const connections = Array.from({ length: 50 }, open);
    for (const { socket } of connections) socket.write(REQUEST);
    await new Promise(process.nextTick);
    await server.stop();
    const outcomes = await Promise.all(connections.map(async ({ closed, received, error }) => {
      await closed;
      return error() || received().split('\r\n')[0];
    }));
    assert.equal([...new Set(outcomes)], ['HTTP/1.1 200 OK']);
  });
}

// Guards against connections that a stop resets, since they were established in a turn of the event
// loop that had looked for them before.
test('connections established in the last turn before the close are served', async () => {
  const { server, open } = await startServer();
  const opened = new Promise<ReturnType<typeof open>[]>((resolve) => {
    setImmediate(() => {
      const connections = [open(), open(), open()];
      for (const { socket } of connections) socket.write(REQUEST);
      resolve(connections);
    });
  });
  await server.stop();
  for (const { closed, received, error } of await opened) {
    await closed;
    assert.is(error(), '');
    assert.match(received(), /^HTTP\/1\.1 200 .*done$/su);
  }
});

/** Reads of the clock by the stop until the listening socket is closed, and some more. */
const CLOCK_READS = 16;
/** Time for which the process waits for the processor between two steps of its event loop. */
const DELAY_MS = 15;

/**
 * Creates a clock that suspends the process once it has been read a number of times since
 * `startCounting`, after the event loop has polled and before the stop goes on.
 */
const createSuspendingClock = (suspendedAt: number, afterSuspension: () => void) => {
  const clock = createSystemClock();
  let reads = -Infinity;
  return {
    clock: {
      ...clock,
      now: () => {
        reads += 1;
        if (reads === suspendedAt) {
          setImmediate(() => {
            blockEventLoop(DELAY_MS);
            afterSuspension();
          });
        }
        return clock.now();
      },
    },
    startCounting: () => {
      reads = 0;
    },
  };
};

// Guards against connections that the close of the listening socket resets, since they were
// established while the process was suspended after it had looked for them.
test('connections established in a suspension before the close are served', async () => {
  let served = 0;
  for (let suspendedAt = 1; suspendedAt <= CLOCK_READS; suspendedAt += 1) {
    const opened: ReturnType<typeof openConnection>[] = [];
    let openOne = () => undefined as void;
    const { clock, startCounting } = createSuspendingClock(suspendedAt, () => openOne());
    const { server, open } = await startServer(undefined, 0, clock);
    openOne = () => {
      const connection = open();
      connection.socket.write(REQUEST);
      opened.push(connection);
    };
    startCounting();
    await server.stop();
    for (const { closed, received, error } of opened) {
      await closed;
      if (error().includes('ECONNREFUSED')) continue;
      assert.is(error(), '', `suspended at read ${suspendedAt} of the clock`);
      assert.match(received(), /^HTTP\/1\.1 200 /u);
      served += 1;
    }
  }
  assert.ok(served > 0);
});

// Guards against idle connections that are closed with a request unread, since it arrived while the
// process was suspended after it had looked for requests.
test('requests that arrive in a suspension before idle connections close are served', async () => {
  let served = 0;
  for (let suspendedAt = 1; suspendedAt <= CLOCK_READS; suspendedAt += 1) {
    let isClosed = false;
    let isSentInTime = false;
    let send = () => undefined as unknown;
    const { clock, startCounting } = createSuspendingClock(suspendedAt, () => {
      isSentInTime = !isClosed;
      send();
    });
    const { server, open } = await startServer(undefined, 0, clock, {
      ...unrecordedEnds,
      mayEnd: (reason, openRequests) => {
        isClosed ||= reason === 'idle after the stop' && openRequests === 0;
        return unrecordedEnds.mayEnd(reason, openRequests);
      },
    });
    const {
      socket, closed, received, error,
    } = open();
    socket.write(REQUEST);
    await once(socket, 'data');
    send = () => socket.write(REQUEST);
    const stopped = server.stop();
    // The socket that listens is closed; what follows precedes the close of idle connections.
    await sleep(IDLE_GRACE_MS / 2);
    startCounting();
    await stopped;
    await closed;
    if (!isSentInTime) continue;
    assert.is(error(), '', `suspended at read ${suspendedAt} of the clock`);
    assert.is(received().match(/HTTP\/1\.1 200 /gu)?.length, 2);
    served += 1;
  }
  assert.ok(served > 0);
});

// Guards against a listener that is kept open for as long as clients connect.
test('new connections without end do not keep the server from its stop', async () => {
  const { server, open } = await startServer(undefined, 8);
  const flood = setInterval(() => {
    const { socket } = open();
    socket.write(REQUEST);
  }, 1);
  await sleep(20);
  const startedAt = performance.now();
  const stopped = server.stop();
  await Promise.race([stopped, sleep(5000)]);
  clearInterval(flood);
  assert.ok(performance.now() - startedAt < 4000);
  await stopped;
});

// Guards against connections that are reset at the exit, since clients that connect without end
// keep the listening socket open until then.
test('no client connects once what has arrived before the exit was read', async () => {
  const { server, open } = await startServer(undefined, 8);
  const flood = setInterval(() => {
    const { socket } = open();
    socket.write(REQUEST);
  }, 1);
  await sleep(20);
  const stopped = server.stop();
  await server.readArrived(performance.now() + 100);
  clearInterval(flood);
  const { closed, error } = open();
  await closed;
  assert.match(error(), /ECONNREFUSED/u);
  await stopped;
});

// The stop reset requests that were on their way on idle connections, with an unknown outcome.
test('a request that crosses the stop gets the final response and is not handled', async () => {
  for (const isUsedBefore of [false, true]) {
    const { server, paths, open } = await startServer(() => FINAL_RESPONSE);
    const {
      socket, closed, received, error,
    } = open();
    await once(socket, 'connect');
    if (isUsedBefore) {
      socket.write(REQUEST);
      await once(socket, 'data');
    }
    socket.pause();
    const stopped = server.stop();
    await sleep(FINAL_MS);
    socket.write('POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody');
    await sleep(IDLE_GRACE_MS);
    socket.resume();
    await closed;
    await stopped;
    assert.is(error(), '');
    assert.ok(received().endsWith(FINAL_RESPONSE), received());
    assert.is(paths.includes('/late'), false);
  }
});

test('a request that arrives during the stop is handled and gets one response', async () => {
  const { server, paths, open } = await startServer(() => FINAL_RESPONSE);
  const { socket, closed, received } = open();
  await once(socket, 'connect');
  const stopped = server.stop();
  socket.write(REQUEST);
  await closed;
  await stopped;
  assert.equal(paths, ['/']);
  assert.match(received(), /^HTTP\/1\.1 200 .*connection: close.*done$/isu);
});

test('stop() resolves once the clients have closed their connections', async () => {
  const { server, open } = await startServer(() => FINAL_RESPONSE);
  const { socket, closed } = open();
  await once(socket, 'connect');
  const stopped = server.stop();
  await closed;
  await Promise.race([stopped, sleep(1000).then(() => assert.unreachable('stop() hangs'))]);
});

test.run();
