import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, makeContract, sendRaw, startNodeWithUpstream, TOKEN,
} from './_test_node.ts';

const contract = makeContract([
  {
    path: '/a/:id', class: 'lookup', maxBodyBytes: 10, key: { from: 'path', name: 'id' },
  },
  { path: '/keyed', class: 'lookup', key: { from: 'query', name: 'k' } },
], { keyed: true });

const startNode = (onRequest: (headers: readonly string[]) => void = () => undefined) => (
  startNodeWithUpstream((request, response) => {
    onRequest(request.rawHeaders);
    response.writeHead(200, {
      connection: 'x-hop, keep-alive', 'x-hop': '1', 'x-kept': '1', 'mh-outcome': 'unknown',
    });
    response.end('body');
  }, { contract })
);

test('refusals by the node name the outcome, step and request identifier', async () => {
  const node = await startNode();
  const { callerAddress, state } = node;
  const expectProblem = async (status: number, target: string, options = {}) => {
    const answer = await call(callerAddress, target, options);
    assert.is(answer.status, status);
    assert.is(answer.problem.outcome, 'not run');
    assert.ok(answer.problem.step);
    assert.is(answer.problem.request, answer.headers['x-request-id']);
    return answer;
  };
  await expectProblem(401, '/keyed?k=1', { headers: { authorization: 'Bearer wrong' } });
  await expectProblem(404, '/elsewhere');
  await expectProblem(400, '/keyed');
  await expectProblem(413, '/a/b', { method: 'POST', body: 'x'.repeat(11) });
  await expectProblem(417, '/keyed?k=1', { headers: { expect: 'miracle' } });
  state.isCustomerAdmitted = false;
  const limited = await expectProblem(429, '/keyed?k=1');
  assert.is(limited.headers['retry-after'], '2');
  state.isCustomerAdmitted = true;
  state.decide = () => ({ kind: 'none', reason: 'nobody', version: 0 });
  await expectProblem(503, '/keyed?k=1');
  state.decide = () => ({ kind: 'wait', reason: 'moving', version: 1 });
  await expectProblem(503, '/keyed?k=1');
  await node.stop();
});

const smugglingInputs: readonly (readonly [string, string, string])[] = [
  ['both framing headers', '', 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
  ['repeated length', '', 'Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc'],
  ['differing lengths', '', 'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc'],
  ['list of lengths', '', 'Content-Length: 3, 3\r\n\r\nabc'],
  ['signed length', '', 'Content-Length: +3\r\n\r\nabc'],
  ['bad chunk size', '', 'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n'],
  ['other coding', '', 'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n'],
  ['repeated coding', '',
    'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n'],
  ['space before colon', '', 'Content-Length : 3\r\n\r\nabc'],
  ['folded header', '', 'X-A: 1\r\n Content-Length: 3\r\n\r\nabc'],
  ['bare line feed', '', 'X-A: 1\nContent-Length: 3\r\n\r\nabc'],
  ['repeated host', '', 'Host: other\r\n\r\n'],
  ['absolute target', 'GET http://other/keyed?k=1 HTTP/1.1', '\r\n'],
  ['dot segments', 'GET /a/%2e%2e/keyed?k=1 HTTP/1.1', '\r\n'],
  ['control in target', 'GET /a/%00 HTTP/1.1', '\r\n'],
  ['backslash in target', 'GET /a\\b HTTP/1.1', '\r\n'],
];

test('ambiguous input that enables request smuggling never reaches the upstream', async () => {
  let received = 0;
  const node = await startNode(() => {
    received += 1;
  });
  for (const [name, line, rest] of smugglingInputs) {
    const head = `${line || 'POST /a/b HTTP/1.1'}\r\nHost: h\r\nConnection: close\r\n`;
    const text = `${head}Authorization: Bearer ${TOKEN}\r\n${rest}`;
    const answer = await sendRaw(node.callerAddress, text);
    assert.match(answer, /^HTTP\/1\.1 400 /u, name);
    assert.match(answer, /x-request-id: /u, name);
  }
  const hostless = `GET /keyed?k=1 HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer ${TOKEN}`;
  assert.match(await sendRaw(node.callerAddress, `${hostless}\r\n\r\n`), /^HTTP\/1\.1 400 /u);
  const large = `GET / HTTP/1.1\r\nHost: h\r\nX-A: ${'a'.repeat(20_000)}\r\n\r\n`;
  assert.match(await sendRaw(node.callerAddress, large), /^HTTP\/1\.1 431 /u);
  assert.is(received, 0);
  await node.stop();
});

test('hop-by-hop headers, credentials and forged hop headers are not forwarded', async () => {
  let names: readonly string[] = [];
  const node = await startNode((raw) => {
    names = raw.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  });
  const head = 'GET /keyed?k=1 HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop, Content-Length\r\n';
  const rest = 'X-Hop: 1\r\nTE: trailers\r\nMH-Customer: other\r\nX-Kept: 1\r\nUpgrade: h2c\r\n';
  const text = `${head}${rest}Authorization: Bearer ${TOKEN}\r\n\r\n`;
  const answer = await sendRaw(node.callerAddress, text);
  for (const name of ['x-hop', 'te', 'mh-customer', 'authorization', 'upgrade', 'mh-request']) {
    assert.not.ok(names.includes(name), name);
  }
  for (const name of ['x-kept', 'host', 'x-request-id', 'x-fencing-token']) {
    assert.ok(names.includes(name), name);
  }
  assert.match(answer, /^HTTP\/1\.1 200 /u);
  assert.match(answer, /x-kept: 1/u);
  assert.not.match(answer, /x-hop|mh-/u);
  await node.stop();
});

test('100 Continue is sent to an accepted request and not to a refused one', async () => {
  const node = await startNode();
  const head = 'POST /a/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n';
  const text = `${head}Expect: 100-continue\r\nAuthorization: Bearer ${TOKEN}\r\n\r\nabc`;
  const keyed = text.replace('/a/b', '/keyed?k=1');
  const answer = await sendRaw(node.callerAddress, keyed);
  assert.match(answer, /^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 /u);
  const unauthorized = await sendRaw(node.callerAddress, keyed.replace(TOKEN, 'wrong'));
  assert.match(unauthorized, /^HTTP\/1\.1 401 /u);
  await node.stop();
});

test('a chunked body beyond the size limit is refused', async () => {
  const node = await startNode();
  const head = 'POST /a/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n';
  const framing = 'Transfer-Encoding: chunked\r\n';
  const text = `${head}${framing}Authorization: Bearer ${TOKEN}\r\n\r\n14\r\n${'x'.repeat(20)}\r\n`;
  const answer = await sendRaw(node.callerAddress, `${text}0\r\n\r\n`);
  assert.match(answer, /^HTTP\/1\.1 413 .*"outcome":"not run"/su);
  await node.stop();
});

test.run();
