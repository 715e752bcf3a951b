import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { startTcpRelay, type TcpRelay } from '../testing/tcp_relay.ts';
import { type CallerAnswer, sendAsCaller } from './_test_caller.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';

const test = suite('a node killed within an answer');

const TIMEOUT_MS = 2000;
/** Time in ms between the parts of an answer. */
const PART_INTERVAL_MS = 20;
const PARTS = 10;
/** Parts that are sent before the node is killed. */
const PARTS_BEFORE_KILL = 4;
const PART = 'x'.repeat(1000);

/** Heads of answers, with the framing of a part and what ends the answer. */
const framings = {
  'without a length': { head: '\r\n', frame: (part: string) => part, end: '' },
  'in chunks': {
    head: 'transfer-encoding: chunked\r\n\r\n',
    frame: (part: string) => `${part.length.toString(16)}\r\n${part}\r\n`,
    end: '0\r\n\r\n',
  },
  'with a length': {
    head: `content-length: ${PARTS * PART.length}\r\n\r\n`, frame: (part: string) => part, end: '',
  },
} as const;

/** Sends an answer in parts; the rest of it waits until `mayGoOn` returns true. */
const respondSlowly = (
  name: keyof typeof framings,
  mayGoOn: () => boolean,
): Respond => (socket, headOf) => {
  const { head, frame, end } = framings[name];
  socket.write(headOf() + head);
  let parts = 0;
  const timer = setInterval(() => {
    if (parts === PARTS_BEFORE_KILL && !mayGoOn()) return;
    parts += 1;
    socket.write(frame(PART));
    if (parts < PARTS) return;
    clearInterval(timer);
    socket.end(end);
  }, PART_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
};

/**
 * Calls through a node on the first or on the second hop, which is killed once its caller has
 * received a part of the answer.
 */
const callThrough = async (
  killed: 'caller' | 'peer',
  name: keyof typeof framings,
  isKilled: boolean,
): Promise<CallerAnswer> => {
  const relays: TcpRelay[] = [];
  let mayGoOn = !isKilled;
  const respond = respondSlowly(name, () => mayGoOn);
  const reachThrough = async (address: string) => {
    const relay = await startTcpRelay(address);
    relays.push(relay);
    return relay.address;
  };
  const path = await startPath({
    hop: 'peer', timeoutMs: TIMEOUT_MS, ...(killed === 'peer' ? { reachThrough } : {}),
  }, respond, answerSoundly);
  const address = killed === 'peer' ? path.callerAddress : await reachThrough(path.callerAddress);
  const answer = await sendAsCaller(address, {
    kind: 'download',
    onBodyStart: () => {
      if (!isKilled) return;
      relays[0]!.kill();
      mayGoOn = true;
    },
  });
  for (const relay of relays) relay.kill();
  await path.stop();
  return answer;
};

// An answer without a length was passed on without one, so the regular close of a killed node's
// connections ended it, and callers took a part of it for the whole.
for (const killed of ['caller', 'peer'] as const) {
  for (const name of Object.keys(framings) as (keyof typeof framings)[]) {
    test(`an answer ${name} is not complete when the ${killed}'s node is killed`, async () => {
      const answer = await callThrough(killed, name, true);
      assert.is(answer.status, 200);
      assert.ok(answer.bodyBytes > 0 && answer.bodyBytes < PARTS * PART.length);
      assert.not(answer.isComplete);
    });

    test(`an answer ${name} is whole when the ${killed}'s node lives`, async () => {
      const answer = await callThrough(killed, name, false);
      assert.ok(answer.isComplete);
      assert.is(answer.bodyBytes, PARTS * PART.length);
    });
  }
}

test.run();
