import type { Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { RouteKind } from '../contract/mod.ts';
import { isMet } from '../testing/is_met.ts';
import { answerSoundly, startPath } from './_test_path.ts';
import { hops } from './_test_sick_call.ts';

const test = suite('an instance that never answers on a connection');

const TIMEOUT_MS = 3000;
const WORK_MS = 10;
const USUAL_CALLS = 40;
const CALLERS = 3;
/** Far below the deadline, and above what a busy machine adds to 250 ms. */
const MAX_ANSWER_MS = 1800;
/** Above what a busy machine adds to the deadline. */
const MAX_TIMEOUT_MS = TIMEOUT_MS + 450;

/** Calls an instance that leaves one request of many without an answer. */
const callSilent = async (hop: typeof hops[number], kind: RouteKind, maxMs: number) => {
  let isNextSilent = false;
  let silentSocket: Socket | undefined;
  const path = await startPath({ hop, timeoutMs: TIMEOUT_MS }, (socket, ...rest) => {
    assert.is.not(socket, silentSocket, 'the connection was used again');
    if (isNextSilent) silentSocket = socket;
    else setTimeout(() => answerSoundly(socket, ...rest), WORK_MS);
    isNextSilent = false;
  }, answerSoundly);
  const callMany = () => Promise.all(Array.from({ length: CALLERS }, async () => {
    for (let index = 0; index < USUAL_CALLS; index += 1) await path.call({ kind });
  }));
  await callMany();
  isNextSilent = true;
  let isAnswered = false;
  const silent = path.call({ kind }).finally(() => {
    isAnswered = true;
  });
  const inTime = isMet(() => isAnswered, maxMs);
  assert.ok(await isMet(() => silentSocket !== undefined));
  const [answer, isInTime] = await Promise.all([silent, inTime, callMany()]);
  const isSlotTaken = path.slotsInUse() === 1;
  assert.ok(await isMet(() => path.slotsInUse() === 0, TIMEOUT_MS), 'the slot was not released');
  await path.stop();
  return { ...answer, isInTime, isSlotTaken };
};

for (const hop of hops) {
  // Guards against callers that wait until their deadline.
  test(`${hop}: a safe request on a silent connection is answered elsewhere in time`, async () => {
    const {
      text, durationMs, isInTime, isSlotTaken,
    } = await callSilent(hop, 'safe', MAX_ANSWER_MS);
    assert.is(text, 'sound');
    assert.ok(isInTime, `answered after ${durationMs} ms`);
    assert.ok(isSlotTaken, 'the instance may be at work until the deadline');
  });

  // Guards against callers of a long run that are told it is unknown; nobody else may be asked.
  test(`${hop}: an unsafe request on a silent connection is unknown at its deadline`, async () => {
    const {
      status, text, durationMs, isInTime,
    } = await callSilent(hop, 'unsafe', MAX_TIMEOUT_MS);
    assert.is(status, 504);
    assert.match(text, '"outcome":"unknown"');
    assert.ok(durationMs >= TIMEOUT_MS, `answered after ${durationMs} ms`);
    assert.ok(isInTime, `answered after ${durationMs} ms`);
  });
}

test.run();
