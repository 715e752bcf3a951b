import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, renderMalformed } from './mod.ts';

const test = suite('room for requests');

const WORK_MS = 30;

const format = (path: string) => `GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`;

// Guards against heads that fill the memory while they wait for their turn: the room for them was
// asked for only once they were handled.
test('a request asks for room when it is read, and is refused in its turn', async () => {
  const steps: string[] = [];
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: 20,
    hasRoom: ({ url }) => {
      steps.push(`read ${url}`);
      return url !== '/b';
    },
    handle: ({ url }, response) => {
      steps.push(`handle ${url}`);
      setTimeout(() => response.end(`done ${url}`), WORK_MS);
    },
    refuseWithoutRoom: ({ url }, response) => {
      steps.push(`refuse ${url}`);
      response.shouldKeepAlive = false;
      response.end(`refused ${url}`);
    },
    renderMalformed,
  });
  const { socket, closed, received } = openConnection(await server.listen());
  socket.write(format('/a') + format('/b'));
  await closed;
  await server.stop();
  assert.equal(steps, ['read /a', 'read /b', 'handle /a', 'refuse /b']);
  assert.match(received(), /done \/a[^]*refused \/b/u);
});

test.run();
