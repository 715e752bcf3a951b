import { once } from 'node:events';
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createEgressLink, splitAddress } from '../http/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { HOP_HEADER } from './_hop_header.ts';
import {
  createDispatchQueue, createPeerListener, createShutdownTracker, MAX_BUFFERED_BYTES,
} from './mod.ts';

const test = suite('peer listener');

/** Time within which the node must have closed the connection. */
const TIME_LIMIT_MS = 2500;
const SLOW_INTERVAL_MS = 50;

const setUp = async () => {
  const clock = createSystemClock();
  let forwards = 0;
  const listener = createPeerListener({
    clock,
    address: '127.0.0.1:0',
    dispatch: createDispatchQueue({ clock }),
    requestIdHeader: 'request-id',
    local: {
      forward: async () => {
        forwards += 1;
        return { kind: 'answered', status: 200 };
      },
      recordRefusal: () => undefined,
      load: () => ({
        inFlight: 0, queued: 0, slots: 1, runMs: 0,
      }) as never,
    },
    link: createEgressLink({
      clock, megabitsPerSecond: 1000, maxBufferedBytes: MAX_BUFFERED_BYTES,
    }),
    shutdown: createShutdownTracker(clock),
    logger: noopLogger,
    handleControlMessage: async () => '{"from":"control"}',
  });
  return { listener, forwards: () => forwards, address: await listener.listen() };
};

interface Framing {
  readonly header: string;
  readonly piece: string;
}

const framings: Readonly<Record<string, Framing>> = {
  'of chunks': { header: 'transfer-encoding: chunked', piece: '1\r\nx\r\n' },
  'of a length': { header: 'content-length: 900000000000', piece: 'x' },
};

/** Sends a head and a body without end; resolves once the connection has closed or time is up. */
const sendBody = async (address: string, head: string, framing: Framing, isSlow: boolean) => {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host).on('error', () => undefined);
  let text = '';
  let isInTime = true;
  socket.on('data', (data) => {
    text += data.toString();
  });
  socket.write(`${head}host: h\r\n${framing.header}\r\n\r\n`);
  const fill = Buffer.from(framing.piece.repeat(10_000));
  const write = () => {
    while (!socket.destroyed && socket.write(fill));
  };
  const timer = setInterval(() => isSlow && socket.write(framing.piece), SLOW_INTERVAL_MS);
  if (!isSlow) {
    socket.on('drain', write);
    write();
  }
  const limit = setTimeout(() => {
    isInTime = false;
    socket.destroy();
  }, TIME_LIMIT_MS);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  clearInterval(timer);
  clearTimeout(limit);
  return { text, isInTime };
};

for (const [name, framing] of Object.entries(framings)) {
  for (const isSlow of [false, true]) {
    // Guards against the body of a control message that is read without end after the answer.
    test(`a ${isSlow ? 'slow' : 'fast'} body ${name} ends with its control message`, async () => {
      const { listener, address } = await setUp();
      const head = 'GET /marjoramhollow/load HTTP/1.1\r\n';
      const { text, isInTime } = await sendBody(address, head, framing, isSlow);
      listener.kill();
      assert.match(text, /^HTTP\/1\.1 200 [^]*"from":"control"/u);
      assert.ok(isInTime, 'the connection stays open');
    });
  }

  // Guards against a request of a peer that stays open while its body trickles in.
  test(`a slow body ${name} of a request is refused at the deadline`, async () => {
    const { listener, forwards, address } = await setUp();
    const hop = JSON.stringify(['ledger', 'unsafe', 1, 'short', 300, 100, null, null, 0]);
    const head = `POST /orders/a HTTP/1.1\r\n${HOP_HEADER}: ${hop}\r\n`;
    const { text, isInTime } = await sendBody(address, head, framing, true);
    listener.kill();
    assert.ok(isInTime, 'the connection stays open');
    assert.match(text, /^HTTP\/1\.1 503 .*mh-outcome: not run/isu);
    assert.is(text.match(/HTTP\/1\.1/gu)?.length, 1);
    assert.is(forwards(), 0);
  });
}

// Guards against a control message without a body that costs its connection.
test('control messages without a body keep their connection', async () => {
  const { listener, address } = await setUp();
  const { host, port } = splitAddress(address);
  const socket = connect(port, host);
  const request = 'GET /marjoramhollow/load HTTP/1.1\r\nhost: h\r\n\r\n';
  for (let count = 0; count < 2; count += 1) {
    socket.write(request);
    const [data] = await once(socket, 'data') as [Buffer];
    assert.match(data.toString(), /^HTTP\/1\.1 200 [^]*keep-alive/iu);
  }
  socket.destroy();
  listener.kill();
});

test.run();
