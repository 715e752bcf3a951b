import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Respond, startPath } from './_test_path.ts';
import { hops } from './_test_sick_call.ts';

const test = suite('an error whose body comes after its head');

const TIMEOUT_MS = 2500;
const REFUSAL_DELAY_MS = 200;

const cases = [
  { name: 'a body 150 ms later', bytes: 6, delayMs: 150 },
  { name: 'a body of 100 kB', bytes: 100_000, delayMs: 0 },
] as const;

const refuse: Respond = (socket, headOf) => {
  setTimeout(() => {
    socket.write(`${headOf(503)}not-executed: 1\r\ncontent-length: 0\r\n\r\n`);
  }, REFUSAL_DELAY_MS);
};

// Guards against an error of the node in place of that of the instance, whose response is cut.
for (const hop of hops) {
  for (const { name, bytes, delayMs } of cases) {
    test(`${hop}, ${name}: it is delivered if the retry is refused`, async () => {
      let isCut = false;
      const path = await startPath({ hop, timeoutMs: TIMEOUT_MS }, (socket, headOf) => {
        let isWritten = false;
        socket.once('close', () => {
          isCut ||= !isWritten;
        });
        socket.write(`${headOf(500)}content-length: ${bytes}\r\n\r\n`);
        setTimeout(() => {
          if (socket.destroyed) return;
          isWritten = true;
          socket.write('b'.repeat(bytes));
        }, delayMs);
      }, refuse);
      const { status, headers, text } = await path.call({ kind: 'safe' });
      await path.stop();
      assert.is(status, 500, text);
      assert.is(headers['response-seal'], 's');
      assert.not.ok(isCut);
    });
  }
}

test.run();
