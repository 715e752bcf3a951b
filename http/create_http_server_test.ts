import { EventEmitter, once } from 'node:events';
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createHttpServer, renderMalformed, splitAddress } from './mod.ts';

const test = suite('http server');

const IDLE_GRACE_MS = 100;
const STOP_TIMEOUT_MS = 3000;

const FINAL_RESPONSE = 'HTTP/1.1 503 Stopping\r\ncontent-length: 0\r\n\r\n';

const startServer = async (body = 'done', finalResponse?: string) => {
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: (_, response) => response.end(body),
    renderMalformed,
    ...(finalResponse === undefined ? {} : { renderFinal: () => finalResponse }),
  });
  const { host, port } = splitAddress(await server.listen());
  return { server, host, port };
};

const endsInTime = (work: Promise<unknown>) => Promise.race([
  work.then(() => true),
  new Promise<boolean>((resolve) => {
    setTimeout(() => resolve(false), STOP_TIMEOUT_MS).unref();
  }),
]);

test('a refused CONNECT neither leaks its connection nor blocks shutdown', async () => {
  for (const rest of ['', 'bytes for the other end']) {
    const { server, host, port } = await startServer();
    const socket = connect(port, host).on('error', () => undefined);
    socket.write(`CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n${rest}`);
    const [response] = await once(socket, 'data') as [Buffer];
    assert.match(response.toString(), /^HTTP\/1\.1 501 /u);
    socket.write('more');
    socket.end();
    const isStopped = await endsInTime(server.stop());
    server.kill();
    assert.ok(isStopped, `stop() hangs after '${rest}'`);
  }
});

test('stop() closes idle connections and resolves', async () => {
  const { server, host, port } = await startServer();
  const socket = connect(port, host).on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  await once(socket, 'data');
  assert.ok(await endsInTime(server.stop()));
});

// The connection of a response counted as idle before the last bytes were sent, and was closed.
test('stop() sends a response to a slow reader to its end', async () => {
  const bodyBytes = 16_777_216;
  const { server, host, port } = await startServer('x'.repeat(bodyBytes));
  const socket = connect(port, host).on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  await once(socket, 'readable');
  const stopped = server.stop();
  await new Promise((resolve) => {
    setTimeout(resolve, 3 * IDLE_GRACE_MS);
  });
  let receivedBytes = 0;
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
  });
  await once(socket, 'close');
  assert.ok(receivedBytes > bodyBytes, `received ${receivedBytes} bytes`);
  assert.ok(await endsInTime(stopped));
});

test('stop() sends the final response on idle connections, also on unused ones', async () => {
  for (const first of ['GET / HTTP/1.1\r\nHost: h\r\n\r\n', '']) {
    const { server, host, port } = await startServer('done', FINAL_RESPONSE);
    const socket = connect(port, host);
    await once(socket, 'connect');
    let received = '';
    socket.setEncoding('latin1').on('data', (chunk: string) => {
      received += chunk;
    });
    socket.write(first);
    await new Promise((resolve) => {
      setTimeout(resolve, IDLE_GRACE_MS);
    });
    const stopped = server.stop();
    await once(socket, 'close');
    assert.ok(received.endsWith(FINAL_RESPONSE), received);
    assert.ok(await endsInTime(stopped));
  }
});

// Guards against a stop that waits for the process at the other end of a connection.
test('stop() closes idle connections whose client does not close', async () => {
  const { server, host, port } = await startServer('done', FINAL_RESPONSE);
  const socket = connect({ port, host, allowHalfOpen: true }).on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
  socket.resume();
  await once(socket, 'data');
  assert.ok(await endsInTime(server.stop()));
  socket.destroy();
});

/** Time in ms that a request takes, after the input that follows it has been read. */
const WORK_MS = 150;

/** Sends bytes on a connection and resolves to all that is received until it closes. */
const sendBytes = async (
  bytes: string,
  workMs: number,
  isHeadSentFirst = false,
  laterBytes = '',
) => {
  let isClosed = false;
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: ({ url }, response) => {
      response.once('close', () => {
        isClosed = !response.writableFinished;
      });
      if (isHeadSentFirst) response.writeHead(200, ['content-length', '6']).write('do');
      setTimeout(() => response.end(isHeadSentFirst ? 'ne/a' : `done${url}`), workMs);
    },
    renderMalformed,
  });
  const { host, port } = splitAddress(await server.listen());
  const socket = connect(port, host).on('error', () => undefined);
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  socket.write(bytes);
  if (laterBytes !== '') setTimeout(() => socket.write(laterBytes), WORK_MS / 2);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  server.kill();
  return { received, isClosed };
};

const sendWithInput = (input: string, workMs: number, isHeadSentFirst = false) => (
  sendBytes(`GET /a HTTP/1.1\r\nhost: h\r\n\r\n${input}`, workMs, isHeadSentFirst)
);

const invalidInputs: Readonly<Record<string, string>> = {
  'invalid bytes': '\0invalid\r\n\r\n',
  'a head that is too large': `GET /b HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`,
};

// The error that answers the invalid input took the place of the answer in preparation.
for (const [name, input] of Object.entries(invalidInputs)) {
  test(`a request is answered although ${name} follow it`, async () => {
    const { received } = await sendWithInput(input, WORK_MS);
    assert.match(received, /^HTTP\/1\.1 200 .*connection: close.*done\/a$/isu);
  });

  test(`a response that has begun is sent to its end although ${name} follow`, async () => {
    const { received } = await sendWithInput(input, WORK_MS, true);
    assert.match(received, /^HTTP\/1\.1 200 .*done\/a$/isu);
  });
}

test('all complete requests before invalid bytes are answered', async () => {
  const { received } = await sendWithInput('GET /b HTTP/1.1\r\nhost: h\r\n\r\n\0\r\n', WORK_MS);
  assert.match(received, /^HTTP\/1\.1 200 .*done\/aHTTP\/1\.1 200 .*done\/b$/isu);
});

// The bytes of valid requests that waited counted as input after an error, beyond its limit.
test('many requests are answered although invalid bytes follow in parts', async () => {
  const requests = 12;
  const request = `GET /b HTTP/1.1\r\nhost: h\r\nx: ${'y'.repeat(8000)}\r\n\r\n`;
  const input = `${request.repeat(requests)}\0invalid\r\n`;
  const { received } = await sendBytes(input, WORK_MS, false, '\0more\r\n');
  assert.is(received.match(/done\/b/gu)?.length, requests);
});

test('a request is answered although the next head arrives too slowly', async () => {
  const { received } = await sendWithInput('GET /b HTTP/1.1\r\n', 12_000);
  assert.match(received, /^HTTP\/1\.1 200 .*connection: close.*done\/a$/isu);
});

// Guards against a client that sends garbage for as long as its request is in flight.
test('endless invalid bytes close the connection of a request in flight', async () => {
  const { received, isClosed } = await sendWithInput('\0'.repeat(2_000_000), 2000);
  assert.is(received, '');
  assert.ok(isClosed);
});

// Guards against work for a client that left, which the invalid bytes before hide.
test('the close of a client is noticed after invalid bytes', async () => {
  for (const leave of ['end', 'destroy'] as const) {
    const events = new EventEmitter();
    const server = createHttpServer({
      clock: createSystemClock(),
      address: '127.0.0.1:0',
      maxHeaderBytes: 16_384,
      idleGraceMs: IDLE_GRACE_MS,
      handle: (_, response) => response.once('close', () => events.emit('closed')),
      renderMalformed,
    });
    const { host, port } = splitAddress(await server.listen());
    const closed = once(events, 'closed');
    const socket = connect(port, host).on('error', () => undefined);
    socket.write('GET /a HTTP/1.1\r\nhost: h\r\n\r\n\0invalid\r\n');
    setTimeout(() => socket[leave](), WORK_MS);
    assert.ok(await endsInTime(closed), leave);
    server.kill();
  }
});

test('a request whose own body is invalid gets 400', async () => {
  const head = 'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
  const { received } = await sendBytes(`${head}x\r\n`, WORK_MS);
  assert.match(received, /^HTTP\/1\.1 400 /u);
});

test.run();
