import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { isMet } from '../testing/is_met.ts';
import { type CallerAnswer, watchBuffers } from './_test_caller.ts';
import {
  answerSoundly, type Respond, startPath, writeEndlessly,
} from './_test_path.ts';
import { hops, MAX_OVERRUN_MS, writeSlowly } from './_test_sick_call.ts';

const test = suite('an error whose body comes after its head');

const TIMEOUT_MS = 2500;
const REFUSAL_DELAY_MS = 200;
/** Far below the timeout of the route, and above the time that a busy machine takes. */
const MAX_RETRY_MS = 1200;
/** Beyond what is held for one response. */
const LARGE_ERROR_BYTES = 300_000;
/** The instances of some hosts have as many slots. */
const MANY_SLOTS = 9;
/** The smallest hosts have 250 MB; a node needs 100 MB, and up to 84 MB for request bodies. */
const MAX_NODE_GROWTH = 66_000_000;

const cases = [
  { name: 'a body 150 ms later', bytes: 6, delayMs: 150 },
  { name: 'a body of 100 kB', bytes: 100_000, delayMs: 0 },
] as const;

const refuse: Respond = (socket, headOf) => {
  setTimeout(() => {
    socket.write(`${headOf(503)}not-executed: 1\r\ncontent-length: 0\r\n\r\n`);
  }, REFUSAL_DELAY_MS);
};

/** Calls several times at once, and tells whether all answers came within a time limit in ms. */
const callInTime = async (
  path: Awaited<ReturnType<typeof startPath>>,
  count: number,
  limitMs: number,
) => {
  let answeredCount = 0;
  const calls = Array.from({ length: count }, async () => {
    const answer = await path.call({ kind: 'safe' });
    answeredCount += 1;
    return answer;
  });
  const areInTime = await isMet(() => answeredCount === count, limitMs);
  const answers = await Promise.all(calls);
  const durations = answers.map(({ durationMs }) => Math.round(durationMs)).join();
  return { answers, areInTime, durations };
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

const endlessBodies: Readonly<Record<string, Respond>> = {
  'no body in time': (socket, headOf) => {
    socket.write(`${headOf(500)}content-length: 6\r\n\r\n`);
  },
  'slow chunks': (socket, headOf) => {
    socket.write(`${headOf(500)}transfer-encoding: chunked\r\n\r\n`);
    writeSlowly(socket, '1\r\nx\r\n');
  },
  'chunks at full speed': (socket, headOf) => {
    socket.write(`${headOf(500)}transfer-encoding: chunked\r\n\r\n`);
    writeEndlessly(socket, `8000\r\n${'x'.repeat(32_768)}\r\n`);
  },
  'tiny chunks at full speed': (socket, headOf) => {
    socket.write(`${headOf(500)}transfer-encoding: chunked\r\n\r\n`);
    writeEndlessly(socket, '1\r\nx\r\n');
  },
};

for (const hop of hops) {
  for (const [name, respond] of Object.entries(endlessBodies)) {
    // Guards against a caller whose retry waits for the body of the error.
    test(`${hop}, ${name}: a retry that succeeds does not wait for the error`, async () => {
      const path = await startPath({ hop, timeoutMs: TIMEOUT_MS }, respond, answerSoundly);
      const { answers, areInTime, durations } = await callInTime(path, 1, MAX_RETRY_MS);
      const [{ status, text }] = answers as [CallerAnswer];
      const areSlotsFree = await isMet(() => path.slotsInUse() === 0);
      const isClosed = await isMet(() => path.instances[0]!.usedConnections() === 0);
      await path.stop();
      assert.is(status, 200);
      assert.is(text, 'sound');
      assert.ok(areInTime, `the answer took ${durations} ms`);
      assert.ok(areSlotsFree, 'the slot was not released');
      assert.ok(isClosed, 'the connection to the instance stays open');
    });

    // Guards against errors without end that keep their callers, their slots or memory.
    test(`${hop}, ${name}: callers are answered by the deadline`, async () => {
      const path = await startPath({
        hop, timeoutMs: TIMEOUT_MS, slots: MANY_SLOTS,
      }, respond, refuse);
      const stopWatching = watchBuffers();
      const { answers, areInTime, durations } = await callInTime(
        path,
        MANY_SLOTS,
        TIMEOUT_MS + MAX_OVERRUN_MS,
      );
      const growth = stopWatching();
      const areSlotsFree = await isMet(() => path.slotsInUse() === 0);
      const isClosed = await isMet(() => path.instances[0]!.usedConnections() === 0);
      await path.stop();
      for (const { status, isComplete } of answers) {
        assert.is(status, 502);
        assert.ok(isComplete);
      }
      assert.ok(areInTime, `the answers took ${durations} ms`);
      const nodes = hop === 'local' ? 1 : 2;
      assert.ok(growth < nodes * MAX_NODE_GROWTH, `buffers grew by ${growth} bytes`);
      assert.ok(areSlotsFree, 'the slot was not released');
      assert.ok(isClosed, 'the connection to the instance stays open');
    });
  }

  // Guards against an error that is delivered in part as if it were whole.
  test(`${hop}: an error that is too large to be held is not delivered`, async () => {
    const path = await startPath({ hop, timeoutMs: TIMEOUT_MS }, (socket, headOf) => {
      const body = 'x'.repeat(LARGE_ERROR_BYTES);
      socket.write(`${headOf(500)}content-length: ${LARGE_ERROR_BYTES}\r\n\r\n${body}`);
    }, refuse);
    const { status, headers, isComplete } = await path.call({ kind: 'safe' });
    await path.stop();
    assert.is(status, 502);
    assert.is(headers['response-seal'], undefined);
    assert.ok(isComplete);
  });
}

test.run();
