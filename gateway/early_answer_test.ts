import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { sendUntilAccepted } from '../testing/send_until_accepted.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';

const test = suite('answer before the body of a request is read');

const BODY_BYTES = 8_388_608;
const REQUESTS_PER_CALLER = 4;
/** Request that a caller leaves; the two before it use the same connection. */
const LEFT_REQUEST = 2;
const CALLER_COUNT = 2;
const PAUSE_MS = 50;
const TIMEOUT_MS = 5000;

/** Answers as soon as the head has arrived, and reads the body later. */
const answerEarly: Respond = (socket, ...rest) => {
  answerSoundly(socket, ...rest);
  socket.pause();
  setTimeout(() => socket.resume(), PAUSE_MS);
};

/** Returns the number of requests in the bytes of a connection; throws if other bytes are there. */
const countRequests = (received: string) => {
  let count = 0;
  let rest = received;
  while (rest !== '') {
    const head = /^POST \/unsafe\/a HTTP\/1\.1\r\n[^]*?\r\n\r\n/u.exec(rest)?.[0];
    if (head === undefined) throw new Error(`no request: ${rest.slice(0, 60)}`);
    if (!head.includes(`content-length: ${BODY_BYTES}\r\n`)) throw new Error(`no length: ${head}`);
    const body = rest.slice(head.length, head.length + BODY_BYTES);
    if (/[^x]/u.test(body)) throw new Error('other bytes in the place of a body');
    rest = rest.slice(head.length + body.length);
    count += 1;
  }
  return count;
};

// Guards against a next request that is written where the rest of a body is due.
for (const hop of ['local', 'peer'] as const) {
  for (const leaveAfterMs of [undefined, 20]) {
    const name = leaveAfterMs === undefined ? 'a caller that stays' : 'a caller that leaves';
    test(`${hop}: the instance gets only requests and their bodies of ${name}`, async () => {
      const path = await startPath({ hop, timeoutMs: TIMEOUT_MS }, answerEarly);
      const options = { kind: 'unsafe', body: 'x'.repeat(BODY_BYTES) } as const;
      const answers = await Promise.all(Array.from({ length: CALLER_COUNT }, async () => {
        const own = [];
        for (let count = 0; count < REQUESTS_PER_CALLER; count += 1) {
          const isLeft = count === LEFT_REQUEST && leaveAfterMs !== undefined;
          const leave = isLeft ? { leaveAfterMs } : {};
          own.push(await sendUntilAccepted(() => path.call({ ...options, ...leave })));
        }
        return own;
      }));
      const [instance] = path.instances;
      await sleep(2 * PAUSE_MS);
      await path.stop();
      const counts = instance!.received().map(countRequests);
      const answered = answers.flat().filter(({ text }) => text === 'sound').length;
      const runs = counts.reduce((sum, count) => sum + count, 0);
      const seen = JSON.stringify({ counts, answers });
      assert.ok(runs >= answered, seen);
      if (leaveAfterMs === undefined) {
        assert.is(answered, CALLER_COUNT * REQUESTS_PER_CALLER, seen);
        // A request that was refused has not reached the instance.
        assert.is(runs, answered, seen);
      }
      assert.ok(counts.some((count) => count > 1), 'no connection was used again');
    });
  }
}

test.run();
