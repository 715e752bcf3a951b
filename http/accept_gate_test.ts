import { readFileSync } from 'node:fs';
import { Agent, request as sendTlsRequest } from 'node:https';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { openConnection } from '../testing/open_connection.ts';
import {
  createHttpServer, type HttpServerOptions, renderMalformed, splitAddress,
} from './mod.ts';

const test = suite('connections held while a server stops');

const CONNECTIONS = 20;
const BODY_BYTES = 300_000;
const IDLE_GRACE_MS = 50;

const read = (name: string) => readFileSync(new URL(`../peer/testdata/${name}`, import.meta.url));

const materialOf = (name: string) => ({
  key: read(`${name}_key.pem`), cert: read(`${name}.pem`), ca: read('authority.pem'),
});

const startServer = async (options: Partial<HttpServerOptions> = {}) => {
  const bodyBytes: number[] = [];
  const server = createHttpServer({
    clock: createSystemClock(),
    address: '127.0.0.1:0',
    maxHeaderBytes: 16_384,
    idleGraceMs: IDLE_GRACE_MS,
    handle: (request, response) => {
      let count = 0;
      request.on('data', (chunk: Buffer) => {
        count += chunk.length;
      }).once('end', () => {
        bodyBytes.push(count);
        response.end('done');
      });
    },
    renderMalformed,
    ...options,
  });
  const address = await server.listen();
  return { server, address, bodyBytes };
};

// Guards against a held connection whose input is lost or out of order once it is handed over.
test('a large body on each connection that waits at the stop is read whole', async () => {
  const { server, address, bodyBytes } = await startServer();
  const connections = Array.from({ length: CONNECTIONS }, () => openConnection(address));
  for (const { socket } of connections) {
    socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`);
    socket.write('x'.repeat(BODY_BYTES));
  }
  await new Promise(process.nextTick);
  await server.stop();
  for (const { closed, received, error } of connections) {
    await closed;
    assert.is(error(), '');
    assert.match(received(), /^HTTP\/1\.1 200 .*connection: close.*done$/isu);
  }
  assert.equal(bodyBytes, Array.from({ length: CONNECTIONS }, () => BODY_BYTES));
});

// Guards against a stop that waits for clients which left while their connections were held.
test('clients that leave or say nothing while they wait do not keep the stop', async () => {
  const { server, address } = await startServer();
  const connections = Array.from({ length: CONNECTIONS }, () => openConnection(address));
  for (const [index, { socket }] of connections.entries()) {
    if (index % 3 === 0) socket.once('connect', () => socket.resetAndDestroy());
    else if (index % 3 === 1) socket.end();
  }
  await new Promise(process.nextTick);
  await server.stop();
  for (const { closed, received } of connections) {
    await closed;
    assert.is(received(), '');
  }
});

// Guards against a handshake that a held connection can't complete.
test('connections that wait at the stop of a server with TLS are served', async () => {
  const { server, address } = await startServer({ tls: materialOf('node') });
  const { host, port } = splitAddress(address);
  const agent = new Agent({ ...materialOf('node'), checkServerIdentity: () => undefined });
  const answers = Array.from({ length: CONNECTIONS }, async () => {
    const request = sendTlsRequest({ host, port, agent }).end();
    const [response] = await once(request, 'response') as [IncomingMessage];
    response.resume();
    await once(response, 'end');
    return response.statusCode;
  });
  await new Promise(process.nextTick);
  const [, ...statuses] = await Promise.all([server.stop(), ...answers]);
  assert.equal(statuses, Array.from({ length: CONNECTIONS }, () => 200));
  agent.destroy();
});

test.run();
