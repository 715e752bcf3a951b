import { createHash } from 'node:crypto';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import { createHttpServer, renderMalformed } from './mod.ts';

const test = suite('body of a request that waits for its turn');

const WORK_MS = 50;
const BODY_BYTES = 1_000_000;

const body = Buffer.from(Array.from({ length: BODY_BYTES }, (_, index) => index % 251));
const digestOf = (bytes: Buffer) => createHash('sha1').update(bytes).digest('hex');

const formatChunks = (chunkBytes: number) => {
  const parts: (string | Buffer)[] = [];
  for (let at = 0; at < BODY_BYTES; at += chunkBytes) {
    const chunk = body.subarray(at, at + chunkBytes);
    parts.push(`${chunk.length.toString(16)}\r\n`, chunk, '\r\n');
  }
  return Buffer.concat([...parts, '0\r\n\r\n'].map((part) => Buffer.from(part)));
};

const cases = [
  ...[7, 100, 4095, 5000, 100_000].map((chunkBytes) => ({
    name: `in chunks of ${chunkBytes} bytes`,
    field: 'transfer-encoding: chunked',
    bytes: formatChunks(chunkBytes),
  })),
  { name: 'of a declared length', field: `content-length: ${BODY_BYTES}`, bytes: body },
];

// Guards against bodies that are changed or stall while their small chunks are joined.
for (const { name, field, bytes } of cases) {
  test(`a body ${name} is read whole`, async () => {
    const server = createHttpServer({
      clock: createSystemClock(),
      address: '127.0.0.1:0',
      maxHeaderBytes: 16_384,
      idleGraceMs: 20,
      handle: (request, response) => {
        const parts: Buffer[] = [];
        request.on('data', (part: Buffer) => parts.push(part));
        request.once('end', () => setTimeout(() => {
          if (request.url === '/last') response.shouldKeepAlive = false;
          response.end(`${request.url} ${digestOf(Buffer.concat(parts))};`);
        }, WORK_MS));
      },
      renderMalformed,
    });
    const { socket, closed, received } = openConnection(await server.listen());
    socket.write('GET /first HTTP/1.1\r\nhost: h\r\n\r\n');
    socket.write(`POST /body HTTP/1.1\r\nhost: h\r\n${field}\r\n\r\n`);
    socket.write(bytes);
    socket.write('GET /last HTTP/1.1\r\nhost: h\r\n\r\n');
    await closed;
    await server.stop();
    assert.match(received(), new RegExp(`/first [^]*/body ${digestOf(body)};[^]*/last `, 'u'));
  });
}

test.run();
