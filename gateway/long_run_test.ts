import type { Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import { isMet } from '../testing/is_met.ts';
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
/** Longer than any pause that was once taken for a lost connection. */
const PAUSE_MS = 10_500;

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

// Guards against a run that is broken off because its body pauses, long before its deadline.
test('a response whose body comes long after its head is delivered', async () => {
  await Promise.all(hops.flatMap((hop) => (['safe', 'unsafe'] as const).map(async (kind) => {
    const path = await startPath({ hop, timeoutMs: PAUSE_MS + TIMEOUT_MS }, (socket, headOf) => {
      socket.write(`${headOf()}content-length: 5\r\n\r\n`);
      setTimeout(() => socket.write('sound'), PAUSE_MS);
    }, refuse);
    const { status, text } = await path.call({ kind, deadlineMs: PAUSE_MS + TIMEOUT_MS });
    await path.stop();
    assert.equal([status, text], [200, 'sound'], `${hop}, ${kind}`);
  })));
});

// Guards against a request that is broken off before a busy host has accepted its connection.
test('a request on a connection that is read late is answered', async () => {
  await Promise.all(hops.map(async (hop) => {
    let lateSocket: Socket | undefined;
    let isNextLate = false;
    const path = await startPath({
      hop,
      timeoutMs: TIMEOUT_MS,
      onInstanceConnection: (socket) => {
        if (!isNextLate) return;
        isNextLate = false;
        lateSocket = socket;
        socket.pause();
        setTimeout(() => socket.resume(), LONG_WORK_MS);
      },
    }, (...args) => {
      setTimeout(() => answerSoundly(...args), WORK_MS);
    }, refuse);
    const callMany = async () => {
      for (let index = 0; index < USUAL_CALLS; index += 1) await path.call({ kind: 'unsafe' });
    };
    await Promise.all([callMany(), callMany(), callMany()]);
    isNextLate = true;
    // One more call than there are connections opens another one.
    const calls = Array.from({ length: CALLERS + 1 }, () => path.call({ kind: 'unsafe' }));
    await callMany();
    const answers = await Promise.all(calls);
    await path.stop();
    assert.ok(lateSocket !== undefined, 'no connection was opened');
    for (const { status, text } of answers) assert.equal([status, text], [200, 'sound'], hop);
  }));
});

test.run();
