import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, renderMalformed } from './mod.ts';

const test = suite('requests behind one that is refused');

const GET = 'GET /get HTTP/1.1\r\nhost: h\r\n\r\n';
const POST = 'POST /post HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody';

const cases = [
  { name: 'without a body', text: GET + GET + GET },
  { name: 'with a body', text: POST + GET + GET },
  { name: 'with a body behind one without', text: GET + POST + GET },
] as const;

// Guards against a planned end that takes requests with it which arrived together with a refused
// one: Node.js runs microtasks once it has read a body, before it reads the request behind it.
for (const { name, text } of cases) {
  test(`requests that arrive with one ${name} are answered although it is refused`, async () => {
    const discarded: string[] = [];
    const server = createHttpServer({
      clock: createSystemClock(),
      address: '127.0.0.1:0',
      maxHeaderBytes: 16_384,
      idleGraceMs: 20,
      handle: (request, response) => {
        request.resume();
        response.writeHead(503, { 'content-length': 0 }).end();
      },
      mayEndAfter: () => true,
      onDiscard: (requests) => {
        for (const { url } of requests) discarded.push(url!);
      },
      renderMalformed,
    });
    const { socket, closed, received } = openConnection(await server.listen());
    socket.write(text);
    await closed;
    await server.stop();
    assert.equal(discarded, []);
    assert.is(received().match(/HTTP\/1\.1 503/gu)?.length, 3);
  });
}

test.run();
