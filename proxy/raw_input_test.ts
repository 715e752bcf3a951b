import fc from 'fast-check';
import { connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, listen, TEST_TIMEOUT_MS, makeContract, startNodeWithUpstream, TOKEN,
} from './_test_node.ts';

const SEED = 20_261;
const RUNS = 150;
/** Time in ms without received bytes after which no more responses are expected. */
const QUIET_PERIOD_MS = 40;
/** Errors of a socket whose other end has closed the connection. */
const CLOSED_BY_PEER = new Set(['EPIPE', 'ECONNRESET']);

const SMUGGLED = `GET /a/smuggled HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${TOKEN}\r\n\r\n`;

const targets = [
  '/a/b', '/a/b?q=%20', '/nowhere', '//a/b', '/a/../b', '/a/%2e%2e', '/a/%00', '/a/b#c', '*', '',
  'http://h/a/b', 'h:80', '/a/\u00e9', '/a/b\\c', '/a/b HTTP/1.1 x', `/a/${'x'.repeat(20_000)}`,
];
const headers = [
  'X-Empty:', 'X-Long: '.concat('x'.repeat(20_000)), 'Bad Name: x', ': x', 'X-Nul: a\0b',
  'X-Cr: a\rb',
  ' Folded: x', 'X-Fold: a\r\n b', 'Connection: keep-alive, x-hop', 'Expect: 100-continue',
  'Expect: other', 'Host: other', 'mh-outcome: not run', 'X-Request-Id: forged', 'X-\u00e9: \u00e9',
  'Upgrade: h2c', 'Content-Length : 3', 'Transfer-Encoding : chunked',
];
/** Framing headers with a body; if `isAmbiguous`, the smuggled request must not be forwarded. */
const framings = [
  { lines: [], body: '', isAmbiguous: false },
  { lines: ['Content-Length: 3'], body: 'abc', isAmbiguous: false },
  { lines: ['Content-Length: 9'], body: 'abc', isAmbiguous: false },
  { lines: ['Transfer-Encoding: chunked'], body: '3\r\nabc\r\n0\r\n\r\n', isAmbiguous: false },
  {
    lines: ['Transfer-Encoding: chunked'],
    body: '3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n',
    isAmbiguous: false,
  },
  ...[
    ['Content-Length: 0', 'Transfer-Encoding: chunked'], ['Content-Length: 3', 'Content-Length: 0'],
    ['Transfer-Encoding: chunked', 'Transfer-Encoding: identity'], ['Transfer-Encoding: xchunked'],
    ['Content-Length: +0'], ['Content-Length: 0, 0'], ['Transfer-Encoding:\u000bchunked'],
  ].map((lines) => ({ lines, body: `0\r\n\r\n${SMUGGLED}`, isAmbiguous: true })),
  ...[
    '-1\r\n', 'ffffffffffffffffff\r\n', '3\nabc\n0\n\n', '0x3\r\nabc\r\n0\r\n\r\n',
  ].map((start) => ({
    lines: ['Transfer-Encoding: chunked'], body: `${start}${SMUGGLED}`, isAmbiguous: true,
  })),
];

const inputs = fc.record({
  method: fc.constantFrom('GET', 'POST', 'DELETE', 'CONNECT', 'get', 'G\tT', 'PRI'),
  target: fc.oneof({ weight: 2, arbitrary: fc.constant('/a/b') }, fc.constantFrom(...targets)),
  version: fc.oneof(
    { weight: 2, arbitrary: fc.constant('HTTP/1.1') },
    fc.constantFrom('HTTP/1.0', 'HTTP/2.0', 'http/1.1', ''),
  ),
  token: fc.constantFrom(TOKEN, TOKEN, 'wrong'),
  odd: fc.oneof(
    { weight: 2, arbitrary: fc.constant([]) },
    fc.array(fc.constantFrom(...headers), { maxLength: 2 }),
    fc.array(fc.string({ maxLength: 20 }), { maxLength: 2 }),
  ),
  framing: fc.constantFrom(...framings),
  cuts: fc.array(fc.nat(400), { maxLength: 3 }),
});

const RESPONSE_HEAD = /^HTTP\/1\.1 (\d{3}) [^\r\n]*(?:\r\n[\w-]+: [^\r\n]*)*$/u;

/** Splits received bytes into responses; throws if they are malformed. */
const parseResponses = (text: string) => {
  const responses: { readonly status: number; readonly head: string; readonly body: string }[] = [];
  let rest = text;
  while (rest !== '') {
    const headEnd = rest.indexOf('\r\n\r\n');
    const head = rest.slice(0, headEnd);
    const status = Number(RESPONSE_HEAD.exec(head)?.[1]);
    if (headEnd < 0 || !(status >= 100)) throw new Error(`not a response: ${rest.slice(0, 200)}`);
    rest = rest.slice(headEnd + 4);
    if (status < 200) continue;
    const length = Number(/\r\ncontent-length: (\d+)/iu.exec(head)?.[1] ?? Number.NaN);
    if (!(length <= rest.length)) throw new Error(`incomplete body after: ${head}`);
    responses.push({ status, head, body: rest.slice(0, length) });
    rest = rest.slice(length);
  }
  return responses;
};

const sendInParts = async (address: string, text: string, cuts: readonly number[]) => {
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
  let received = '';
  let errorCode: string | undefined;
  socket.on('error', ({ code }: NodeJS.ErrnoException) => {
    errorCode = code ?? 'without a code';
  }).on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  // `once` of `node:events` would reject on an error, which the close follows.
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  const offsets = [0, ...[...cuts].sort((a, b) => a - b), text.length];
  for (let index = 1; index < offsets.length; index += 1) {
    socket.write(text.slice(offsets[index - 1], offsets[index]), 'latin1');
    await sleep(1);
  }
  let length = -1;
  while (!socket.closed && length !== received.length) {
    length = received.length;
    await Promise.race([closed, sleep(QUIET_PERIOD_MS)]);
  }
  socket.end();
  const limit = sleep(TEST_TIMEOUT_MS, false, { ref: false });
  const isClosed = await Promise.race([closed.then(() => true), limit]);
  if (errorCode !== undefined) assert.ok(CLOSED_BY_PEER.has(errorCode), errorCode);
  return { received, isClosed };
};

// Guards against an unhandled error when the router closes a connection that still gets bytes.
test('bytes sent after the connection was closed do not fail the client', async () => {
  for (const close of ['resetAndDestroy', 'destroy'] as const) {
    const server = createServer((socket) => {
      socket.on('error', () => undefined).once('data', () => socket[close]());
    });
    const address = await listen(server);
    const cuts = Array.from({ length: 20 }, (_, index) => index + 1);
    const { received, isClosed } = await sendInParts(address, 'x'.repeat(400), cuts);
    server.close();
    assert.is(received, '');
    assert.ok(isClosed, close);
  }
});

test('fuzzed input gets a response or a close, and refused input is not forwarded', async () => {
  const reached = new Set<string>();
  const paths: string[] = [];
  const contract = makeContract([{ path: '/a/:id', class: 'lookup' }]);
  const node = await startNodeWithUpstream((request, response) => {
    reached.add(String(request.headers['x-request-id']));
    paths.push(request.url ?? '');
    request.resume().on('end', () => response.end('done'));
  }, { contract });
  await fc.assert(fc.asyncProperty(inputs, async (input) => {
    const { framing, token } = input;
    const target = token === TOKEN ? input.target : `/a/denied${input.target.slice(0, 100)}`;
    const lines = ['Host: h', `Authorization: Bearer ${token}`, ...input.odd, ...framing.lines];
    const head = `${input.method} ${target} ${input.version}\r\n${lines.join('\r\n')}\r\n\r\n`;
    paths.length = 0;
    const { received, isClosed } = await sendInParts(
      node.callerAddress,
      `${head}${framing.body}`,
      input.cuts,
    );
    assert.ok(isClosed, 'the connection was not closed');
    for (const { status, body } of parseResponses(received)) {
      if (status < 400) continue;
      const problem = JSON.parse(body) as { readonly outcome: string; readonly request: string };
      if (problem.outcome === 'not run') assert.not(reached.has(problem.request));
    }
    if (framing.isAmbiguous) assert.not(paths.includes('/a/smuggled'));
    assert.not(paths.some((reachedPath) => reachedPath.startsWith('/a/denied')));
    const { status } = await call(node.callerAddress, '/a/next');
    assert.is(status, 200);
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true });
  assert.ok(reached.size > RUNS, 'too few valid inputs');
  // Idle pool connections are unreferenced and would let the process exit before they are closed.
  const keepRunning = setInterval(() => undefined, TEST_TIMEOUT_MS);
  await node.stop();
  clearInterval(keepRunning);
});

test.run();
