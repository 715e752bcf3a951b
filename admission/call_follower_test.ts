import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createRandom } from './_test_support.ts';
import { createCallDetector, type RunOrigin } from './mod.ts';

const test = suite('call follower');

const ROUNDS = 200;
const SEEDS = [1, 2, 3, 4, 5];
const STEP_MS = 1;
const CALLER_TIMEOUT_MS = 300;

type Range = readonly [least: number, most: number];

/** A caller whose requests come shortly after runs, on a route and a connection of its own. */
interface Follower {
  /** Origin of the runs that it follows. */
  readonly origin: RunOrigin;
  readonly lagMs: Range;
  readonly runMs: Range;
  /** Time to the response of the caller's request. */
  readonly responseMs: Range;
  /** Other runs that are in progress at a time, on average; they come from other nodes. */
  readonly otherRuns?: number;
  /** Whether a run of another node, which waited for the slot, starts when the run ends. */
  readonly hasQueuedRun?: boolean;
}

const isDueAt = (now: number) => ({ at }: { readonly at: number }) => at <= now;

/**
 * Simulates a host whose caller follows one run in each round.
 *
 * @returns The number of rounds in which the caller's request is proven to be a call.
 */
const countProven = async (follower: Follower, seed: number) => {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const detector = createCallDetector({ clock });
  const connection = {};
  const due: { readonly at: number; readonly act: () => void }[] = [];
  const after = (delayMs: number, act: () => void) => due.push({ at: clock.now() + delayMs, act });
  const within = ([least, most]: Range) => least + random() * (most - least);
  const startRun = (runMs: number, origin: RunOrigin, onEnd = () => undefined as void) => {
    const end = detector.startRun(clock.now() + 1000 + random() * 2000, origin);
    after(runMs, () => {
      end(true);
      onEnd();
    });
  };
  let proven = 0;
  const send = () => {
    const request = { connection, route: 'own', deadlineAt: clock.now() + CALLER_TIMEOUT_MS };
    if (detector.classify(request) === 'call' && detector.isProven(request)) proven += 1;
    const end = detector.trackResponse(request);
    after(within(follower.responseMs), () => end(true));
  };
  const passTime = async (durationMs: number) => {
    let now = clock.now();
    const until = now + durationMs;
    const advance = () => clock.advance(now - clock.now());
    while (now < until) {
      now += STEP_MS;
      const isReady = isDueAt(now);
      if (due.some(isReady)) {
        await advance();
        const ready = due.filter(isReady);
        due.splice(0, due.length, ...due.filter((event) => !isReady(event)));
        for (const { act } of ready) act();
      }
      const starts = ((follower.otherRuns ?? 0) * STEP_MS) / 100;
      if (random() < starts) {
        await advance();
        startRun(within([50, 150]), 'peer');
      }
    }
    await advance();
  };

  await passTime(5000);
  for (let round = 0; round < ROUNDS; round += 1) {
    startRun(within(follower.runMs), follower.origin, () => {
      if (follower.hasQueuedRun) startRun(within(follower.runMs), 'peer');
    });
    after(within(follower.lagMs), send);
    await passTime(within([300, 900]));
  }
  return proven;
};

/** Returns the numbers of rounds with a proof, by seed. */
const countBySeed = async (follower: Follower) => {
  const counts: number[] = [];
  for (const seed of SEEDS) counts.push(await countProven(follower, seed));
  return counts;
};

const none = SEEDS.map(() => 0);
const short: Range = [20, 60];
const various: Range = [20, 250];

// A caller whose requests always came shortly after runs that this host's callers had begun was
// proven to be the instance in 200 of 200 rounds, and was served while the node closed.
for (const [name, follower] of [
  ['its request ends first', { lagMs: [2, 10], runMs: [60, 60], responseMs: [5, 20] }],
  ['its request ends later', { lagMs: [2, 10], runMs: [60, 60], responseMs: [100, 200] }],
  ['runs of various lengths', { lagMs: [2, 10], runMs: various, responseMs: various }],
  ['it sends 30 ms later', { lagMs: [30, 30], runMs: [40, 120], responseMs: short }],
  ['runs overlap', {
    lagMs: [2, 10], runMs: various, responseMs: various, otherRuns: 0.3,
  }],
  ['a queued run of another node starts when the run ends', {
    lagMs: [62, 80], runMs: [60, 60], responseMs: [5, 20], hasQueuedRun: true,
  }],
] as const) {
  test(`a caller that follows runs of its own host is never proven: ${name}`, async () => {
    const proven = await countBySeed({ origin: 'host', ...follower });
    console.log(`${name}: proven in ${proven.join(', ')} of ${ROUNDS} rounds`);
    assert.equal(proven, none);
  });
}

// A caller whose requests always came shortly after runs of other nodes was proven to be the
// instance, though it went on waiting for responses when those runs had ended.
for (const [name, follower] of [
  ['its request ends later', { lagMs: [2, 10], runMs: [60, 60], responseMs: [100, 200] }],
  ['its request ends just after', { lagMs: [2, 10], runMs: [60, 60], responseMs: [60, 70] }],
  ['runs of various lengths', { lagMs: [2, 10], runMs: various, responseMs: various }],
  ['runs overlap', {
    lagMs: [2, 10], runMs: various, responseMs: various, otherRuns: 0.3,
  }],
  ['nearly all requests end first', { lagMs: [2, 10], runMs: [60, 250], responseMs: [5, 90] }],
  ['its request ends first', { lagMs: [2, 10], runMs: [60, 60], responseMs: [5, 20] }],
] as const) {
  test(`a caller that follows runs of other nodes is never proven: ${name}`, async () => {
    const proven = await countBySeed({ origin: 'peer', ...follower });
    console.log(`${name}: proven in ${proven.join(', ')} of ${ROUNDS} rounds`);
    assert.equal(proven, none);
  });
}

// Guards against calls that are refused while the node closes, since some runs began on this host.
test('calls of an instance are proven after some runs, whatever began the others', async () => {
  const KNOWN_AFTER_ROUNDS = 20;
  const clock = createFakeClock();
  const random = createRandom(1);
  const detector = createCallDetector({ clock });
  const connection = {};
  await clock.advance(5000);
  let proven = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const endRun = detector.startRun(clock.now() + 1500, random() < 0.3 ? 'host' : 'peer');
    await clock.advance(20);
    const request = { connection, route: 'own', deadlineAt: clock.now() + CALLER_TIMEOUT_MS };
    const isCall = detector.classify(request) === 'call';
    if (round >= KNOWN_AFTER_ROUNDS && isCall && detector.isProven(request)) proven += 1;
    const endResponse = detector.trackResponse(request);
    await clock.advance(20 + random() * 100);
    endResponse(true);
    await clock.advance(5);
    endRun(true);
    await clock.advance(300 + random() * 600);
  }
  console.log(`calls of the instance: ${proven} of ${ROUNDS - KNOWN_AFTER_ROUNDS} proven`);
  assert.is(proven, ROUNDS - KNOWN_AFTER_ROUNDS);
});

test.run();
