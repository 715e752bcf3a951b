import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { callSickPromptly, hops } from './_test_sick_call.ts';

const test = suite('status lines that are not those of a response');

// Guards against statuses that are passed on, and against texts of the client library. The header
// that claims that the request was not run proves nothing either.
const call = (hop: typeof hops[number], status: string, kind: 'safe' | 'unsafe') => (
  callSickPromptly(hop, (socket, headOf) => {
    const head = headOf().replace('200', status);
    socket.write(`${head}not-executed: 1\r\ncontent-length: 5\r\n\r\nhello`);
  }, { kind })
);

for (const hop of hops) {
  test(`${hop}: a safe request is sent to another instance after them`, async () => {
    for (const status of ['600', '999']) {
      const { answer, runs } = await call(hop, status, 'safe');
      assert.equal([answer.status, answer.text, runs], [200, 'sound', [1, 1]]);
    }
  });

  test(`${hop}: an unsafe request is unknown after them`, async () => {
    for (const status of ['000', '099', '101', '600', '999']) {
      const { answer, runs } = await call(hop, status, 'unsafe');
      assert.equal([answer.status, runs], [502, [1, 0]]);
      assert.match(answer.text, `the status ${status} is not that of a response`);
      assert.match(answer.text, '"outcome":"unknown"');
    }
  });
}

test.run();
