import { once } from 'node:events';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { answerSoundly, startPath } from './_test_path.ts';
import { createShutdownTracker } from './mod.ts';

const test = suite('heads of refused requests');

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const CONNECTIONS = 150;
const FILLER = 'x'.repeat(60_000);
/** Both ends of the connections take the rest. */
const MAX_GROWTH = (CONNECTIONS * FILLER.length) / 2;

const usedBytes = () => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

const formatHead = (path: string) => [
  `POST ${path} HTTP/1.1`, 'host: shop.example', 'request-id: r-1', `filler: ${FILLER}`,
  'content-length: 5', '\r\n',
].join('\r\n');

/** Returns by how much the heap has grown once requests are refused whose bodies never arrive. */
const measureRefusals = async (path: string, isStopping: boolean, expected: RegExp) => {
  const clock = createSystemClock();
  const shutdown = { caller: createShutdownTracker(clock), peer: createShutdownTracker(clock) };
  const { callerAddress, stop } = await startPath({ hop: 'local', shutdown }, answerSoundly);
  if (isStopping) {
    shutdown.caller.leave(Infinity);
    shutdown.caller.close();
  }
  const head = Buffer.from(formatHead(path));
  const before = usedBytes();
  const connections = Array.from({ length: CONNECTIONS }, () => {
    const connection = openConnection(callerAddress);
    connection.socket.write(head);
    return connection;
  });
  await Promise.all(connections.map(({ socket }) => once(socket, 'data')));
  const growth = usedBytes() - before;
  for (const { received } of connections) assert.match(received(), expected);
  await stop();
  await Promise.all(connections.map(({ closed }) => closed));
  return growth;
};

// Guards against refused requests that fill the heap: the head of each was kept until the end of
// its body, which may never come.
for (const [name, path, isStopping, expected] of [
  ['a stopping node', '/unsafe/a', true, /^HTTP\/1\.1 503 /u],
  ['a node without a route', '/nowhere', false, /^HTTP\/1\.1 404 /u],
] as const) {
  test(`the heads of requests that ${name} refuses are not kept`, async () => {
    await measureRefusals(path, isStopping, expected);
    const growth = await measureRefusals(path, isStopping, expected);
    assert.ok(growth <= MAX_GROWTH, `the heap grew by ${growth} bytes`);
  });
}

test.run();
