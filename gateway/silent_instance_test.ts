import type { Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { RouteKind } from '../contract/mod.ts';
import { isMet } from './_test_caller.ts';
import { answerSoundly, startPath } from './_test_path.ts';

const test = suite('an instance that never answers on a connection');

const TIMEOUT_MS = 3000;
const WORK_MS = 10;
const USUAL_CALLS = 120;
const CALLERS = 3;
/** Answers that follow the silent connection. */
const LATER_CALLS = 40;
/** Far below the deadline, and above what a busy machine adds to 250 ms. */
const MAX_ANSWER_MS = 1800;

/** Calls an instance that leaves one request of many without an answer. */
const callSilent = async (hop: 'local' | 'peer', kind: RouteKind) => {
  let isNextSilent = false;
  const silentSockets = new Set<Socket>();
  let reused = 0;
  const path = await startPath({ hop, timeoutMs: TIMEOUT_MS }, (socket, ...rest) => {
    if (silentSockets.has(socket)) reused += 1;
    else if (isNextSilent) {
      isNextSilent = false;
      silentSockets.add(socket);
    } else setTimeout(() => answerSoundly(socket, ...rest), WORK_MS);
  }, answerSoundly);
  const callMany = (count: number) => Promise.all(Array.from({ length: CALLERS }, async () => {
    for (let index = 0; index < count / CALLERS; index += 1) {
      assert.is((await path.call({ kind })).text, 'sound');
    }
  }));
  await callMany(USUAL_CALLS);
  isNextSilent = true;
  const silent = path.call({ kind });
  await isMet(() => silentSockets.size === 1);
  const later = callMany(LATER_CALLS);
  const answer = await silent;
  const slotsInUse = path.slotsInUse();
  await later;
  const areSlotsFree = await isMet(() => path.slotsInUse() === 0, TIMEOUT_MS + 500);
  await path.stop();
  assert.is(silentSockets.size, 1);
  assert.is(reused, 0);
  assert.ok(slotsInUse >= 1, 'the instance may be at work until the deadline');
  assert.ok(areSlotsFree, 'the slot was not released');
  return answer;
};

// Guards against callers that wait until their deadline, and against the reuse of the connection.
for (const hop of ['local', 'peer'] as const) {
  test(`${hop}: a safe request on a silent connection is answered elsewhere in time`, async () => {
    const { text, durationMs } = await callSilent(hop, 'safe');
    assert.is(text, 'sound');
    assert.ok(durationMs < MAX_ANSWER_MS, `answered after ${durationMs} ms`);
  });

  test(`${hop}: an unsafe request on a silent connection is unknown long before`, async () => {
    const { status, text, durationMs } = await callSilent(hop, 'unsafe');
    assert.is(status, 502);
    assert.match(text, '"outcome":"unknown"');
    assert.match(text, 'does not answer on this connection');
    assert.ok(durationMs < MAX_ANSWER_MS, `answered after ${durationMs} ms`);
  });
}

test.run();
