import { once } from 'node:events';
import {
  type AddressInfo, connect, createServer, Server,
} from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { blockEventLoop } from '../testing/block_event_loop.ts';
import { openConnection, type RawConnection } from '../testing/open_connection.ts';
import { createAcceptGate } from './_accept_gate.ts';
import { createServerStop } from './_server_stop.ts';
import { createHttpServer, renderMalformed } from './mod.ts';

const test = suite('last turn before a listening socket closes');

/** Reads of the clock by the stop until the listening socket is closed, and some more. */
const CLOCK_READS = 16;
/** Far longer than a turn of an idle event loop, and than the handshake of a connection. */
const EVENT_MS = 0.2;

/** Calls `onEvent` in the next poll of the event loop after a call of `trigger`. */
const createPollEvent = async (onEvent: () => void) => {
  const listener = createServer((socket) => socket.on('data', onEvent)).listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const socket = connect((listener.address() as AddressInfo).port, '127.0.0.1');
  await once(socket, 'connect');
  return {
    trigger: () => {
      socket.write('x');
    },
    stop: () => {
      socket.destroy();
      listener.close();
    },
  };
};

/** Stops a server, and opens a connection in the poll after the stop has read the clock. */
const openWhileStopping = async (clockReads: number): Promise<RawConnection | undefined> => {
  const systemClock = createSystemClock();
  let reads = -Infinity;
  let trigger = () => undefined as void;
  const server = createHttpServer({
    clock: {
      ...systemClock,
      now: () => {
        reads += 1;
        if (reads === clockReads) trigger();
        return systemClock.now();
      },
    },
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: 50,
    handle: (_, response) => response.end('done'),
    renderMalformed,
  });
  const address = await server.listen();
  let connection: RawConnection | undefined;
  const event = await createPollEvent(() => {
    connection = openConnection(address);
    connection.socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    blockEventLoop(EVENT_MS);
  });
  trigger = event.trigger;
  reads = 0;
  await server.stop();
  event.stop();
  return connection;
};

// Guards against connections that a stop resets, as the last turn that looked for them handled an
// event for less than a millisecond, and they were established meanwhile.
test('connections established by an event before the close are served', async () => {
  let served = 0;
  for (let clockReads = 1; clockReads <= CLOCK_READS; clockReads += 1) {
    const connection = await openWhileStopping(clockReads);
    if (connection === undefined) continue;
    await connection.closed;
    // The socket was closed before the event.
    if (connection.error().includes('ECONNREFUSED')) continue;
    assert.is(connection.error(), '', `opened after ${clockReads} reads of the clock`);
    assert.match(connection.received(), /^HTTP\/1\.1 200 .*done$/su);
    served += 1;
  }
  assert.ok(served > 0);
});

/** Durations of turns in ms of a process with little processor time. */
const BUSY_TURNS_MS = [40, 30, 20, 0.6, 40, 16, 25, 40, 30];

// Guards against connections that a stop resets in a process with little processor time: without a
// turn of a tenth of a millisecond, the socket was closed after one of any length, such as 43 ms.
test('a process without short turns closes its socket after one of its shortest', async () => {
  const server = new Server();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const systemClock = createSystemClock();
  let nowMs = 0;
  let turns = 0;
  let turnMs = 0;
  let isClosed = false;
  const runTurn = () => {
    if (isClosed) return;
    turnMs = BUSY_TURNS_MS[turns % BUSY_TURNS_MS.length]!;
    turns += 1;
    nowMs += turnMs;
    setImmediate(runTurn);
  };
  server.once('close', () => {
    isClosed = true;
  });
  const { close } = createServerStop({
    clock: { ...systemClock, now: () => nowMs },
    server,
    gate: createAcceptGate(server),
    idleGraceMs: 1,
    acceptedCount: () => 0,
    readCount: () => 0,
    openConnections: () => 0,
    onIdleGraceOver: () => undefined,
  });
  runTurn();
  await close();
  assert.is(turnMs, 0.6);
});

test.run();
