import { fork } from 'node:child_process';
import { subscribe } from 'node:diagnostics_channel';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { isMet } from '../testing/is_met.ts';
import { answerSoundly, startPath } from './_test_path.ts';
import type { UploadOrder, UploadState } from './_test_upload_client.ts';
import { createBodyBudget } from './mod.ts';

const test = suite('a body in small chunks');

setFlagsFromString('--expose-gc');
// Compiled code that is dropped at a collection would count against the memory of the bodies.
setFlagsFromString('--no-flush-bytecode');
const collectGarbage = runInNewContext('gc') as () => void;

/** Sizes of chunks and bodies in bytes; a machine reads about a million chunks a second. */
const SIZES = [
  { chunkBytes: 1, bodyBytes: 200_000 },
  { chunkBytes: 16, bodyBytes: 1_000_000 },
  { chunkBytes: 32, bodyBytes: 1_000_000 },
  { chunkBytes: 100, bodyBytes: 1_000_000 },
  { chunkBytes: 16_384, bodyBytes: 1_000_000 },
];
/** Memory of all bodies, in bodies: at least one fits, and four do not. */
const ROOM = 3.9;
const UPLOADS = 8;
/** Over a million chunks take several seconds on a busy machine. */
const TIMEOUT_MS = 20_000;
const POLL_MS = 10;
/** What sockets and parsers of the node may keep. */
const MAX_OTHER_GROWTH = 2_000_000;
/** Memory of array buffers is counted until the next collection but one. */
const MIN_COLLECTIONS = 3;
const MAX_COLLECTIONS = 10;
/** A collection that frees less has left nothing to free. */
const MIN_FREED_BYTES = 50_000;

/** Connections that were accepted in this process, by the port of the client. */
const accepted = new Map<number, Socket>();
subscribe('net.server.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  accepted.set(socket.remotePort ?? 0, socket);
});

/** Returns the memory that is in use once garbage and freed array buffers are no longer counted. */
const measureUsedBytes = async () => {
  let leastBytes = Infinity;
  for (let count = 0; count < MAX_COLLECTIONS; count += 1) {
    collectGarbage();
    await sleep(POLL_MS);
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    const freedBytes = leastBytes - heapUsed - arrayBuffers;
    leastBytes = Math.min(leastBytes, heapUsed + arrayBuffers);
    if (count >= MIN_COLLECTIONS && freedBytes < MIN_FREED_BYTES) break;
  }
  return leastBytes;
};

/** Starts a process that sends the bodies, so that its memory is not counted. */
const startClient = () => {
  const child = fork('gateway/_test_upload_client.ts', { execArgv: ['--import', 'tsx'] });
  const tell = async (order: UploadOrder): Promise<readonly UploadState[]> => {
    child.send(order);
    const [uploads] = await once(child, 'message') as [readonly UploadState[]];
    return uploads;
  };
  return { tell, close: () => child.disconnect() };
};

let client: ReturnType<typeof startClient>;

const isRead = ({ port, writtenBytes }: UploadState) => {
  const socket = accepted.get(port);
  return socket !== undefined && (socket.destroyed || socket.bytesRead === writtenBytes);
};

/** Returns the growth of memory once all that was sent has been read, and the answers. */
const upload = async (
  { chunkBytes, bodyBytes }: typeof SIZES[number],
  count: number,
) => {
  const bodies = createBodyBudget(ROOM * bodyBytes);
  const path = await startPath({ hop: 'local', timeoutMs: TIMEOUT_MS, bodies }, answerSoundly);
  await path.call({ kind: 'unsafe' });
  accepted.clear();
  const before = await measureUsedBytes();
  const sent = await client.tell({
    kind: 'send',
    address: path.callerAddress,
    count,
    bodyBytes,
    chunkBytes,
    deadlineMs: TIMEOUT_MS,
  });
  const areRead = await isMet(() => sent.every(isRead), TIMEOUT_MS);
  const growth = await measureUsedBytes() - before;
  const reserved = bodies.reservedBytes();
  assert.is((await path.call({ kind: 'unsafe' })).text, 'sound');
  let uploads = await client.tell({ kind: 'finish' });
  const answeredBy = performance.now() + TIMEOUT_MS;
  while (performance.now() < answeredBy && uploads.some(({ received }) => received === '')) {
    await sleep(POLL_MS);
    uploads = await client.tell({ kind: 'read' });
  }
  const runs = path.instances[0]!.received().filter((text) => text.includes('r-chunks')).length;
  await client.tell({ kind: 'close' });
  await path.stop();
  // What their connections hold would count as in use before the next bodies.
  await isMet(() => [...accepted.values()].every(({ destroyed }) => destroyed), TIMEOUT_MS);
  return {
    areRead, growth, reserved, runs, answers: uploads.map(({ received }) => received),
  };
};

test.before(async () => {
  client = startClient();
  // Compiled code and pools of Node.js are allocated by the first bodies, and kept.
  await upload(SIZES[1]!, UPLOADS);
});
test.after(() => client.close());

// Guards against bodies that take many times the memory that is counted for them, since each chunk
// was kept as an object of its own: one such body ended a node.
for (const size of SIZES) {
  const { chunkBytes, bodyBytes } = size;
  const maxBytes = ROOM * bodyBytes;
  for (const count of [1, UPLOADS]) {
    test(`${count} at a time in chunks of ${chunkBytes} bytes stay within the limit`, async () => {
      const {
        areRead, growth, reserved, runs, answers,
      } = await upload(size, count);
      assert.ok(areRead, 'the bodies were not read');
      assert.ok(reserved <= maxBytes);
      assert.ok(growth <= reserved + MAX_OTHER_GROWTH, `memory grew by ${growth} bytes`);
      assert.ok(answers.every((answer) => answer !== ''), 'an upload got no answer');
      const refusal = /^HTTP\/1\.1 503 [^]*retry-after: [^]*"outcome":"not run"/u;
      const refused = answers.filter((answer) => refusal.test(answer));
      const sound = answers.filter((answer) => answer.startsWith('HTTP/1.1 200 '));
      assert.is(refused.length + sound.length, count, answers.join('\n'));
      assert.ok(sound.length >= 1, 'none was run');
      assert.is(sound.length > 0, runs > 0);
      if (count > 1) assert.ok(refused.length >= 1, 'none was refused');
    });
  }
}

test.run();
