import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { splitAddress } from '../http/mod.ts';
import { isMet } from '../testing/is_met.ts';
import { answerSoundly, startPath } from './_test_path.ts';
import { createBodyBudget } from './mod.ts';

const test = suite('memory of request bodies');

const MAX_BYTES = 8_000_000;
const PIECE = Buffer.alloc(65_536, 'x');

test('a reservation finds room only within the sum of all bodies', () => {
  const budget = createBodyBudget(10);
  const first = budget.open();
  const second = budget.open();
  assert.ok(first.reserve(4) && first.reserve(3) && second.reserve(3));
  assert.not(second.reserve(1));
  assert.is(budget.reservedBytes(), 10);
  first.release();
  first.release();
  assert.is(budget.reservedBytes(), 3);
  assert.ok(second.reserve(7));
  // A body that is read on after its request has ended keeps nothing.
  assert.not(first.reserve(0));
});

const framings = {
  'with a length': (bytes: number) => `content-length: ${bytes}`,
  'in chunks': () => 'transfer-encoding: chunked',
} as const;

/** Sends a request with a body that stays incomplete. */
const sendPart = async (address: string, framing: string, bytes: number) => {
  const { host, port } = splitAddress(address);
  const socket: Socket = connect(port, host).on('error', () => undefined);
  let received = '';
  socket.setEncoding('latin1').on('data', (text: string) => {
    received += text;
  });
  await once(socket, 'connect');
  const isChunked = framing.startsWith('transfer');
  socket.write([
    'POST /unsafe/a HTTP/1.1', 'host: shop.example', 'request-id: r-big', 'deadline-ms: 5000',
    framing, '\r\n',
  ].join('\r\n'));
  for (let sent = 0; sent < bytes; sent += PIECE.length) {
    if (socket.destroyed) break;
    if (isChunked) socket.write(`${PIECE.length.toString(16)}\r\n`);
    socket.write(PIECE);
    if (isChunked) socket.write('\r\n');
  }
  return { socket, received: () => received };
};

// Several bodies of the largest size that is allowed, sent at once, exceeded the memory of a host.
for (const [name, format] of Object.entries(framings)) {
  test(`a body ${name} that finds no room is refused at once as not run`, async () => {
    const bodies = createBodyBudget(MAX_BYTES);
    const path = await startPath({ hop: 'local', timeoutMs: 5000, bodies }, answerSoundly);
    const first = await sendPart(path.callerAddress, format(6_000_000), 5_000_000);
    assert.ok(await isMet(() => bodies.reservedBytes() >= 5_000_000, 2000));
    const second = await sendPart(path.callerAddress, format(6_000_000), 5_000_000);
    assert.ok(await isMet(() => second.received() !== '', 2000), 'no answer');
    const refusal = /^HTTP\/1\.1 503 [^]*retry-after: [^]*"outcome":"not run"/u;
    assert.match(second.received(), refusal);
    assert.ok(bodies.reservedBytes() <= MAX_BYTES);
    // Ordinary requests go on, and the room is free once the first body's request has ended.
    assert.is((await path.call({ kind: 'unsafe' })).text, 'sound');
    first.socket.destroy();
    second.socket.destroy();
    assert.ok(await isMet(() => bodies.reservedBytes() === 0, 2000));
    assert.is((await path.call({ kind: 'unsafe', body: 'x'.repeat(7_000_000) })).text, 'sound');
    assert.equal(path.instances[0]!.received().filter((text) => text.includes('r-big')), []);
    await path.stop();
  });
}

// Guards against ordinary requests that are refused for lack of memory that nothing uses: a refused
// body stayed in the count until its caller had sent the rest or left.
test('a refused body counts no longer, also while its caller sends on', async () => {
  const bodies = createBodyBudget(MAX_BYTES);
  const path = await startPath({ hop: 'local', timeoutMs: 5000, bodies }, answerSoundly);
  const upload = await sendPart(path.callerAddress, framings['in chunks'](), 9_000_000);
  assert.ok(await isMet(() => upload.received() !== '', 2000), 'no answer');
  assert.is(bodies.reservedBytes(), 0);
  upload.socket.destroy();
  await path.stop();
});

test('the node next to the instance refuses a body that finds no room as not run', async () => {
  const path = await startPath({
    hop: 'peer', timeoutMs: 5000, peerBodies: createBodyBudget(MAX_BYTES),
  }, answerSoundly);
  const answer = await path.call({ kind: 'unsafe', body: 'x'.repeat(9_000_000) });
  assert.is(answer.status, 503);
  assert.match(answer.text, '"outcome":"not run"');
  assert.is((await path.call({ kind: 'unsafe', body: 'x'.repeat(7_000_000) })).text, 'sound');
  assert.is(path.instances[0]!.counts.requests, 1);
  await path.stop();
});

test.run();
