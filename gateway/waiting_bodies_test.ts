import { setTimeout as sleep } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { openConnection } from '../testing/open_connection.ts';
import { startPath } from './_test_path.ts';

const test = suite('bodies of waiting requests');

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const CONNECTIONS = 50;
/** More than a read of a socket takes. */
const CHUNKS = 40_000;
/** Time for all that is read ahead. */
const SETTLE_MS = 500;
const COLLECTIONS = 4;
/** Two reads of a socket, and as much for both ends of the connection and its first request. */
const MAX_CONNECTION_BYTES = 262_144;

const measureUsedBytes = async () => {
  for (let count = 0; count < COLLECTIONS; count += 1) {
    collectGarbage();
    await sleep(10);
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

const formatHead = (method: string, path: string, ...fields: readonly string[]) => [
  `${method} ${path} HTTP/1.1`, 'host: shop.example', 'request-id: r-1', ...fields, '\r\n',
].join('\r\n');

const REQUESTS = Buffer.from([
  formatHead('GET', '/safe/a'),
  formatHead('POST', '/unsafe/a', 'transfer-encoding: chunked'),
  '1\r\nx\r\n'.repeat(CHUNKS),
].join(''));

// Guards against a heap that bodies in small chunks fill while their requests wait behind others:
// each chunk was kept as an object of its own, two megabytes for each connection.
test('bodies in small chunks take little memory until their requests have their turn', async () => {
  const { callerAddress, stop } = await startPath({
    hop: 'local', timeoutMs: 5000, slots: CONNECTIONS,
  }, () => undefined);
  const before = await measureUsedBytes();
  const connections = Array.from({ length: CONNECTIONS }, () => {
    const connection = openConnection(callerAddress);
    connection.socket.write(REQUESTS);
    return connection;
  });
  await sleep(SETTLE_MS);
  const growth = await measureUsedBytes() - before;
  assert.equal([...new Set(connections.map(({ received }) => received()))], ['']);
  for (const { socket } of connections) socket.destroy();
  await stop();
  assert.ok(growth <= CONNECTIONS * MAX_CONNECTION_BYTES, `memory grew by ${growth} bytes`);
});

test.run();
