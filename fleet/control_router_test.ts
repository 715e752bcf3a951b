import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createControlRouter, jsonResponse, textResponse } from './_control_router.ts';

const test = suite('control router');

const MAX_BODY_BYTES = 10;

const withServer = async (use: (origin: string) => Promise<void>) => {
  const handle = createControlRouter({
    clock: createSystemClock(),
    routes: {
      'GET /ready': () => textResponse('ready'),
      'POST /items/:id/put': ({ parameters, body }) => jsonResponse({ ...parameters, body }, 201),
    },
    maxBodyBytes: MAX_BODY_BYTES,
    onTooLong: (path) => textResponse(`too long: ${path}`, 413),
  });
  const server: Server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  await use(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  server.closeAllConnections();
  server.close();
};

const send = async (url: string, method: 'GET' | 'HEAD' | 'POST', body?: string) => {
  const response = await request(url, { method, ...(body === undefined ? {} : { body }) });
  return { status: response.statusCode, text: await response.body.text() };
};

test('passes the decoded parameters and the body to the handler', () => (
  withServer(async (origin) => {
    const answer = await send(`${origin}/items/a%20b/put?x=1`, 'POST', 'body');
    assert.equal(answer, { status: 201, text: '{"id":"a b","body":"body"}' });
  })
));

test('answers HEAD like GET, without a body', () => withServer(async (origin) => {
  assert.equal(await send(`${origin}/ready`, 'GET'), { status: 200, text: 'ready' });
  assert.equal(await send(`${origin}/ready`, 'HEAD'), { status: 200, text: '' });
}));

test('answers 404 to other methods and paths', () => withServer(async (origin) => {
  for (const [path, method] of [
    ['/ready', 'POST'], ['/items/a/put', 'GET'], ['/items//put', 'POST'], ['/items/a', 'POST'],
    ['/items/a/put/b', 'POST'], ['/', 'GET'],
  ] as const) {
    assert.is((await send(`${origin}${path}`, method)).status, 404, `${method} ${path}`);
  }
}));

test('answers a body that is too long without calling the handler', () => (
  withServer(async (origin) => {
    const answer = await send(`${origin}/items/a/put`, 'POST', 'x'.repeat(MAX_BODY_BYTES + 1));
    assert.equal(answer, { status: 413, text: 'too long: /items/a/put' });
    const next = await send(`${origin}/items/a/put`, 'POST', 'x'.repeat(MAX_BODY_BYTES));
    assert.is(next.status, 201);
  })
));

test.run();
