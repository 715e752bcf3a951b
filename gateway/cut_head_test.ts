import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { RouteKind } from '../contract/mod.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';

const test = suite('an instance that stops in the middle of a head');

const TIMEOUT_MS = 2000;
/** Offsets between two cuts of a head; a prime, so that all kinds of places are met. */
const STEP = 7;
const BODY = 'hello';

/** Heads and what precedes them, up to the empty line. */
const heads: Readonly<Record<string, (head: string) => string>> = {
  'with a length': (head) => `${head}Content-Length: ${BODY.length}\r\n\r\n`,
  'with a length and a close': (head) => (
    `${head}Connection: close\r\nContent-Length: ${BODY.length}\r\n\r\n`
  ),
  'of chunks': (head) => `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`,
  'without a length': (head) => `${head}Connection: close\r\n\r\n`,
  'of HTTP/1.0': (head) => `${head.replace('HTTP/1.1', 'HTTP/1.0')}X-A: b\r\n\r\n`,
  'after an interim response': (head) => (
    `HTTP/1.1 102 Processing\r\n\r\n${head}Connection: close\r\n\r\n`
  ),
  'after an interim response that closes': (head) => (
    `HTTP/1.1 102 Processing\r\nConnection: close\r\n\r\n${head}Connection: close\r\n\r\n`
  ),
  'after an interim response of HTTP/1.0': (head) => (
    `HTTP/1.0 102 Processing\r\n\r\n${head}Connection: close\r\n\r\n`
  ),
};

const cuts = ['end', 'resetAndDestroy'] as const;

/** Answers the n-th request with the head cut at the n-th place, and others soundly. */
const cutInTurn = (format: (head: string) => string, cut: typeof cuts[number]) => {
  let sent = 0;
  let length = Infinity;
  const respond: Respond = (socket, headOf) => {
    const whole = format(headOf());
    length = whole.length;
    const part = whole.slice(0, 1 + sent * STEP);
    sent += 1;
    if (cut === 'end') socket.end(part);
    else socket.write(part, () => socket.resetAndDestroy());
  };
  return { respond, isDone: () => 1 + sent * STEP >= length };
};

// Guards against the part of a head that is delivered as a whole answer, with an empty body.
for (const hop of ['local', 'peer'] as const) {
  for (const cut of cuts) {
    for (const [name, format] of Object.entries(heads)) {
      test(`${hop}, ${cut}: a head ${name} that is cut anywhere is no answer`, async () => {
        for (const kind of ['unsafe', 'download'] as RouteKind[]) {
          const { respond, isDone } = cutInTurn(format, cut);
          const path = await startPath({ hop, timeoutMs: TIMEOUT_MS }, respond, answerSoundly);
          while (!isDone()) {
            const answer = await path.call({ kind });
            const seen = `${kind}: ${answer.status} ${answer.text}`;
            if (kind === 'unsafe') {
              assert.is(answer.status, 502, seen);
              assert.match(answer.text, '"outcome":"unknown"');
            } else assert.is(answer.text, 'sound', seen);
            assert.ok(answer.isComplete, seen);
          }
          await path.stop();
        }
      });
    }
  }
}

test.run();
