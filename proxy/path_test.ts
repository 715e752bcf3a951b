import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { call, makeContract, startPath } from './_test_node.ts';

test('a request passes both listeners and the upstream, and its answer returns', async () => {
  const path = await startPath((request, response) => {
    let body = '';
    request.on('data', (chunk) => {
      body += String(chunk);
    });
    request.on('end', () => response.end(`${request.method} ${request.url} ${body}`));
  }, { contract: makeContract([{ path: '/a/*', class: 'submission' }]) });
  const answer = await call(path.callerAddress, '/a/b?c=d', { method: 'POST', body: 'hello' });
  assert.is(answer.status, 200);
  assert.is(answer.text, 'POST /a/b?c=d hello');
  assert.ok(answer.headers['x-request-id']);
  const empty = await call(path.callerAddress, '/a/b');
  assert.is(empty.text, 'GET /a/b ');
  assert.equal(path.released, ['success', 'success']);
  assert.is(path.reports[0]?.load?.limit, 6);
  await path.stop();
});

test.run();
