import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, localTarget, makeContract, peerTarget, startNodeWithUpstream,
} from './_test_node.ts';

const contract = makeContract([{ path: '/submit', class: 'submission' }], {
  refusalStatuses: [503],
});

// Guards against statuses that are passed on, and against the text of an assertion in the client
// library in the problem that the caller gets.
test('a status that is not that of a response leaves a submission unknown', async () => {
  let status = '';
  const node = await startNodeWithUpstream((_, response) => {
    response.socket!.write(`HTTP/1.1 ${status} Text\r\ncontent-length: 5\r\n\r\nhello`);
  }, { contract });
  for (const target of [peerTarget(node.peerAddress), localTarget()]) {
    node.state.decide = () => target;
    for (status of ['000', '099', '600', '999']) {
      const answer = await call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
      assert.is(answer.status, 502);
      assert.is(answer.problem.outcome, 'unknown');
      assert.match(answer.text, `the status ${status} is not that of a response`);
    }
  }
  await node.stop();
});

test.run();
