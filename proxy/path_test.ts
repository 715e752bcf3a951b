import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { call, makeContract, startNodeWithUpstream } from './_test_node.ts';

test('a request passes both listeners to the upstream, and the response returns', async () => {
  const node = await startNodeWithUpstream((request, response) => {
    let body = '';
    request.on('data', (chunk) => {
      body += String(chunk);
    });
    request.on('end', () => response.end(`${request.method} ${request.url} ${body}`));
  }, { contract: makeContract([{ path: '/a/*', class: 'submission' }]) });
  const answer = await call(node.callerAddress, '/a/b?c=d', { method: 'POST', body: 'hello' });
  assert.is(answer.status, 200);
  assert.is(answer.text, 'POST /a/b?c=d hello');
  assert.ok(answer.headers['x-request-id']);
  const empty = await call(node.callerAddress, '/a/b');
  assert.is(empty.text, 'GET /a/b ');
  assert.equal(node.outcomes, ['success', 'success']);
  assert.is(node.reports[0]?.load?.limit, 6);
  await node.stop();
});

test.run();
