import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import { isMet } from './_test_caller.ts';
import { answerSoundly, type Respond, startPath } from './_test_path.ts';
import { hops } from './_test_sick_call.ts';
import { createShutdownTracker } from './mod.ts';

const test = suite('a run far longer than the others');

const clock = createSystemClock();
const TIMEOUT_MS = 3000;
const WORK_MS = 10;
const LONG_WORK_MS = 1000;
const USUAL_CALLS = 40;
const CALLERS = 3;
const GRACE_MS = 6000;

type Stopped = 'no node' | 'caller' | 'peer' | 'both';

const refuse: Respond = (socket, headOf) => {
  socket.write(`${headOf(503)}not-executed: 1\r\ncontent-length: 0\r\n\r\n`);
};

/** Calls an instance that takes long for one request while it answers many others. */
const callLong = async (hop: typeof hops[number], kind: RouteKind, stopped: Stopped) => {
  let isNextLong = false;
  let longRuns = 0;
  let cutRuns = 0;
  const shutdown = { caller: createShutdownTracker(clock), peer: createShutdownTracker(clock) };
  const path = await startPath({ hop, timeoutMs: TIMEOUT_MS, shutdown }, (socket, ...rest) => {
    const isLong = isNextLong;
    isNextLong = false;
    if (!isLong) {
      setTimeout(() => answerSoundly(socket, ...rest), WORK_MS);
      return;
    }
    longRuns += 1;
    let isRunning = true;
    const timer = setTimeout(() => {
      isRunning = false;
      answerSoundly(socket, ...rest);
    }, LONG_WORK_MS);
    socket.once('close', () => {
      if (isRunning) cutRuns += 1;
      clearTimeout(timer);
    });
  }, refuse);
  const callMany = () => Promise.all(Array.from({ length: CALLERS }, async () => {
    for (let index = 0; index < USUAL_CALLS; index += 1) await path.call({ kind });
  }));
  await callMany();
  isNextLong = true;
  const long = path.call({ kind });
  assert.ok(await isMet(() => longRuns === 1));
  const answerBy = clock.now() + GRACE_MS;
  if (stopped === 'caller' || stopped === 'both') shutdown.caller.leave(answerBy);
  if (stopped === 'peer' || stopped === 'both') shutdown.peer.leave(answerBy);
  const [answer] = await Promise.all([long, callMany()]);
  const seen = { longRuns, cutRuns };
  await path.stop();
  return { answer, ...seen };
};

const kinds = ['safe', 'unsafe', 'download'] as const;
const stops = ['no node', 'caller', 'peer', 'both'] as const;

// Guards against a run that is broken off and answered with 502 because others are shorter.
for (const hop of hops) {
  test(`${hop}: it is answered, whatever its kind and whichever node stops`, async () => {
    await Promise.all(kinds.flatMap((kind) => stops.map(async (stopped) => {
      const { answer, longRuns, cutRuns } = await callLong(hop, kind, stopped);
      const seen = `${kind}, ${stopped}: ${answer.status} ${answer.text}`;
      assert.is(answer.status, 200, seen);
      assert.is(answer.text, 'sound', seen);
      assert.is(longRuns, 1, seen);
      assert.is(cutRuns, 0, seen);
    })));
  });
}

test.run();
