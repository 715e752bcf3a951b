import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Respond } from './_test_path.ts';
import { callSickPromptly, hops } from './_test_sick_call.ts';

const test = suite('status lines that are not those of a response');

/** Answers with a status line as given, and claims that the request was not run. */
const respondWith = (status: string): Respond => (socket, headOf) => {
  const head = headOf().replace('200', status);
  socket.write(`${head}not-executed: 1\r\ncontent-length: 5\r\n\r\nhello`);
};

// Guards against statuses that are passed on, and against the text of an assertion in the client
// library in the answer to the caller.
for (const hop of hops) {
  for (const status of ['600', '999']) {
    test(`${hop}: after the status ${status}, a safe request is repeated`, async () => {
      const { answer, runs } = await callSickPromptly(hop, respondWith(status));
      assert.is(answer.status, 200);
      assert.is(answer.text, 'sound');
      assert.equal(runs, [1, 1]);
    });
  }

  for (const status of ['000', '099', '101', '600', '999']) {
    test(`${hop}: after the status ${status}, an unsafe request is unknown`, async () => {
      const { answer, runs } = await callSickPromptly(hop, respondWith(status), { kind: 'unsafe' });
      assert.is(answer.status, 502);
      assert.match(answer.text, '"outcome":"unknown"');
      assert.match(answer.text, `the status ${status} is not that of a response`);
      assert.equal(runs, [1, 0]);
    });
  }
}

test.run();
