import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createRandom } from './_test_support.ts';
import { type CallDetector, createCallDetector } from './mod.ts';

const test = suite('call detector');

/** Requests that were classified after the first 10 s, and those classified wrongly. */
interface Tally {
  requests: number;
  wrong: number;
  /** Requests that were proven to be calls. */
  proven: number;
}

const STEP_MS = 5;
const SLOTS = 4;

/**
 * Simulates a host with callers on kept and on new connections, late callers, and an instance whose
 * runs make nested calls, on a route of their own and on one that callers use too.
 */
const simulate = async (calmUntil: number, runsPerSecond: number, seed: number) => {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const detector: CallDetector = createCallDetector({ clock });
  const runs = new Map<{ readonly deadlineAt: number }, { endsAt: number; callAt: number }>();
  const endOf = new Map<object, (isComplete: boolean) => void>();
  const kept = Array.from({ length: 4 }, () => ({}));
  const instanceConnections = Array.from({ length: 3 }, () => ({}));
  const callers: Tally = { requests: 0, wrong: 0, proven: 0 };
  const calls: Tally = { requests: 0, wrong: 0, proven: 0 };
  const pick = (connections: readonly object[]) => (
    connections[Math.floor(random() * connections.length)]!
  );
  const happens = (perSecond: number) => random() < (perSecond * STEP_MS) / 1000;
  const send = (isCall: boolean, connection: object, route: string, remainingMs: number) => {
    const deadlineAt = clock.now() + remainingMs;
    const request = { connection, route, deadlineAt };
    const origin = detector.classify(request);
    if (clock.now() < 10_000) return;
    const tally = isCall ? calls : callers;
    tally.requests += 1;
    if (isCall !== (origin === 'call')) tally.wrong += 1;
    if (origin === 'call' && detector.isProven(request)) tally.proven += 1;
  };

  while (clock.now() < 40_000) {
    await clock.advance(STEP_MS);
    const now = clock.now();
    for (const [run, state] of runs) {
      if (now >= state.callAt) {
        state.callAt = Infinity;
        const remainingMs = Math.min(340, run.deadlineAt - now);
        send(true, pick(instanceConnections), random() < 0.7 ? 'probe' : 'stock', remainingMs);
      }
      if (now >= state.endsAt) {
        endOf.get(run)?.(true);
        runs.delete(run);
      }
    }
    if (happens(now < calmUntil ? 8 : runsPerSecond) && runs.size < SLOTS) {
      const run = { deadlineAt: now + 300 + random() * 2900 };
      runs.set(run, { endsAt: now + 40 + random() * 120, callAt: now + 20 });
      endOf.set(run, detector.startRun(run.deadlineAt));
    }
    if (happens(8)) send(false, pick(kept), 'order', 3200 * (0.85 + random() * 0.15));
    if (happens(4)) send(false, pick(kept), 'order', 100 + random() * 400);
    if (happens(6)) send(false, {}, 'urgent', 340 + random() * 60);
    if (happens(4)) send(false, pick(kept), 'stock', 340);
    if (happens(2)) send(false, {}, 'stock', 340);
  }
  return { callers, calls };
};

// Guards against taking the urgent and late requests of callers for nested calls. By priority 0 or
// little time left, 16 of each 24 of these requests of callers would count as calls.
test('requests of callers hardly ever count as calls, and calls are mostly found', async () => {
  const days = [
    ['calm', 10_000, 8],
    ['busy', 10_000, 40],
    ['full', 10_000, 400],
    ['full from the start', 0, 400],
  ] as const;
  for (const [name, calmUntil, runsPerSecond] of days) {
    const { callers, calls } = await simulate(calmUntil, runsPerSecond, 3);
    const callerErrors = callers.wrong / callers.requests;
    const callErrors = calls.wrong / calls.requests;
    console.log(name, {
      callers, calls, callerErrors, callErrors,
    });
    assert.ok(callerErrors <= 0.01, `${name}: ${callerErrors} of the callers' requests`);
    assert.is(callers.proven, 0, `${name}: requests of callers are proven to be calls`);
    // On an instance that was never idle, calls cannot be told apart and count as callers'.
    if (calmUntil > 0) assert.ok(callErrors <= 0.1, `${name}: ${callErrors} of the calls`);
  }
});

// An instance that went on after its response was lost made calls that no known run explained.
test('a run without a complete response counts until its deadline', async () => {
  const clock = createFakeClock();
  const detector = createCallDetector({ clock });
  await clock.advance(4000);
  detector.startRun(clock.now() + 1000)(false);
  const classify = () => detector.classify({
    connection: {}, route: 'probe', deadlineAt: clock.now() + 100,
  });
  assert.is(classify(), 'unsure');
  await clock.advance(1300);
  assert.is(classify(), 'caller');
});

// A node that had been restarted under its working instance took all its calls for callers'.
test('nothing is learned while runs of an earlier process may go on', async () => {
  const clock = createFakeClock();
  const detector = createCallDetector({ clock });
  const request = { connection: {}, route: 'probe' };
  assert.is(detector.classify({ ...request, deadlineAt: clock.now() + 100 }), 'unsure');
  await clock.advance(4000);
  detector.startRun(clock.now() + 1000);
  assert.is(detector.classify({ ...request, deadlineAt: clock.now() + 100 }), 'unsure');
});

/** Makes one call on a connection within each of a number of runs, with pauses between them. */
const callOften = async (count: number) => {
  const clock = createFakeClock();
  const detector = createCallDetector({ clock });
  const connection = {};
  await clock.advance(5000);
  for (let made = 0; made < count; made += 1) {
    const endRun = detector.startRun(clock.now() + 1000);
    await clock.advance(20);
    detector.classify({ connection, route: 'probe', deadlineAt: clock.now() + 300 });
    await clock.advance(60);
    endRun(true);
    await clock.advance(400);
  }
  /** Returns whether a request that expires after this time in ms is proven. */
  const isProven = (on: object, remainingMs: number) => {
    const request = { connection: on, route: 'probe', deadlineAt: clock.now() + remainingMs };
    return detector.classify(request) === 'call' && detector.isProven(request);
  };
  return {
    clock, detector, connection, isProven,
  };
};

// A caller's request on a new connection counted as a call, on evidence about its route alone.
test('a call is proven by its own connection, not by its route', async () => {
  const {
    clock, detector, connection, isProven,
  } = await callOften(10);
  detector.startRun(clock.now() + 1000);
  const other = {};
  const request = { connection: other, route: 'probe', deadlineAt: clock.now() + 300 };
  assert.is(detector.classify(request), 'call');
  assert.not(isProven(other, 300));
  assert.ok(isProven(connection, 300));
});

// Guards against late work whose result nobody waits for, or that outlasts its run.
test('a call is proven only by a run that covers it and whose response is awaited', async () => {
  const beyond = await callOften(10);
  beyond.detector.startRun(beyond.clock.now() + 1000);
  assert.ok(beyond.isProven(beyond.connection, 1000));
  assert.not(beyond.isProven(beyond.connection, 1500));
  // The connection has carried a request that no run has made.
  assert.not(beyond.isProven(beyond.connection, 300));
  for (const isComplete of [false, true]) {
    const {
      clock, detector, connection, isProven,
    } = await callOften(10);
    const endRun = detector.startRun(clock.now() + 1000);
    assert.ok(isProven(connection, 300));
    endRun(isComplete);
    assert.not(isProven(connection, 300), `${isComplete}`);
  }
});

// Guards against late work for a caller whose first request runs on this host, and makes its second
// one look like a call of that run.
test('a request that a caller sends together with a running one is not proven', async () => {
  for (const lagMs of [0, 2, 10]) {
    const clock = createFakeClock();
    const detector = createCallDetector({ clock });
    const [first, second] = [{}, {}];
    await clock.advance(5000);
    let proven = 0;
    for (let sent = 0; sent < 30; sent += 1) {
      const deadlineAt = clock.now() + 3000;
      detector.classify({ connection: first, route: 'lookup', deadlineAt });
      const endRun = detector.startRun(deadlineAt);
      await clock.advance(lagMs);
      const request = { connection: second, route: 'lookup', deadlineAt: deadlineAt + lagMs };
      if (detector.classify(request) === 'call' && detector.isProven(request)) proven += 1;
      await clock.advance(50);
      endRun(true);
      await clock.advance(450);
    }
    assert.is(proven, 0, `${lagMs} ms apart`);
  }
});

// Guards against a connection that counts as the instance's again after a caller's request on it.
test('a connection with a request that no run has made proves nothing any more', async () => {
  const {
    clock, detector, connection, isProven,
  } = await callOften(12);
  detector.classify({ connection, route: 'probe', deadlineAt: clock.now() + 9000 });
  for (let made = 0; made < 12; made += 1) {
    const endRun = detector.startRun(clock.now() + 1000);
    await clock.advance(20);
    assert.not(isProven(connection, 300));
    await clock.advance(60);
    endRun(true);
    await clock.advance(400);
  }
});

// Guards against a proof by chance, as some requests of callers fit the runs.
test('a few calls prove nothing', async () => {
  const {
    clock, detector, connection, isProven,
  } = await callOften(3);
  detector.startRun(clock.now() + 1000);
  assert.not(isProven(connection, 300));
});

// Guards against calls that are refused after the instance has left one without its response.
test('a call that the instance left before its response is no evidence of a caller', async () => {
  const cases = [
    ['its run fails', 300, 20, true, false, true],
    ['its run gets no complete response', 300, 20, false, false, true],
    ['its deadline comes', 100, 90, true, true, true],
    ['its connection ends after the response to its run', 300, 20, true, true, false],
  ] as const;
  for (const [name, remainingMs, runMs, isComplete, isSuccess, isSent] of cases) {
    const {
      clock, detector, connection, isProven,
    } = await callOften(10);
    const endRun = detector.startRun(clock.now() + 1000);
    const request = { connection, route: 'probe', deadlineAt: clock.now() + remainingMs };
    assert.is(detector.classify(request), 'call');
    const endResponse = detector.trackResponse(request);
    await clock.advance(runMs);
    endRun(isComplete, isSuccess);
    await clock.advance(10);
    endResponse(isSent);
    await clock.advance(500);
    detector.startRun(clock.now() + 1000);
    assert.ok(isProven(connection, 300), name);
  }
});

// Guards against calls that are refused for minutes after a restart, since one of a run that an
// earlier process had begun outlived the runs that are known.
test('a call of an unknown run after a restart is no evidence of a caller', async () => {
  const clock = createFakeClock();
  const detector = createCallDetector({ clock });
  const connection = {};
  const endKnown = detector.startRun(clock.now() + 2000);
  const early = { connection, route: 'probe', deadlineAt: clock.now() + 1500 };
  assert.is(detector.classify(early), 'unsure');
  const endEarly = detector.trackResponse(early);
  await clock.advance(100);
  endKnown(true);
  await clock.advance(400);
  endEarly(true);
  await clock.advance(4000);
  const later = {};
  for (let made = 0; made < 12; made += 1) {
    const endRun = detector.startRun(clock.now() + 1000);
    await clock.advance(20);
    const request = { connection: later, route: 'probe', deadlineAt: clock.now() + 300 };
    detector.classify(request);
    const endResponse = detector.trackResponse(request);
    await clock.advance(20);
    endResponse(true);
    await clock.advance(40);
    endRun(true);
    await clock.advance(400);
  }
  detector.startRun(clock.now() + 1000);
  assert.ok(detector.isProven({
    connection: later, route: 'probe', deadlineAt: clock.now() + 300,
  }));
});

test.run();
