import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRandom } from '../admission/_test_support.ts';
import { createFakeClock } from '../clock/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createResponseSilence } from './response_silence.ts';

const test = suite('response silence');

const ANNOUNCED = 8;
const DEADLINE_MS = 2000;
const MEAN_MS = 60;

interface Load {
  /** Requests that the instance accepts at once; it never answers the others. */
  readonly accepts: number;
  /** Part of the connections that are silent for another reason. */
  readonly lossRate?: number;
  readonly durationMs: number;
  readonly seed?: number;
}

/**
 * Keeps all accepted slots busy, with runs of random length. The machine is three times as slow in
 * a fifth of its phases of 400 ms, and slots of silent connections are taken until the deadline.
 */
const runLoad = async ({
  accepts, lossRate = 0, durationMs, seed = 3,
}: Load) => {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const silence = createResponseSilence({ clock, logger: noopLogger });
  const counts = {
    sent: 0, silent: 0, found: 0, cutOff: 0, foundAfterMs: 0,
  };
  let taken = 0;
  let atWork = 0;
  let slowness = 1;
  const send = async () => {
    taken += 1;
    counts.sent += 1;
    const watch = silence.watch('safe/1/300', clock.now() + DEADLINE_MS);
    watch.start();
    const isLost = atWork >= accepts || random() < lossRate;
    if (!isLost) atWork += 1;
    const runMs = isLost ? Infinity : MEAN_MS * slowness * (0.3 - Math.log(1 - random()) * 0.7);
    if (isLost) counts.silent += 1;
    let isFound = false;
    let waitedMs = 0;
    while (waitedMs < Math.min(runMs, DEADLINE_MS) && !isFound) {
      const stepMs = Math.min(watch.timeoutMs, runMs - waitedMs, DEADLINE_MS - waitedMs);
      await clock.sleep(stepMs);
      waitedMs += stepMs;
      isFound = waitedMs < Math.min(runMs, DEADLINE_MS) && watch.isSilent();
    }
    if (isFound && isLost) {
      counts.found += 1;
      counts.foundAfterMs = Math.max(counts.foundAfterMs, waitedMs);
    } else if (isFound) counts.cutOff += 1;
    if (!isLost) {
      if (!isFound) watch.recordHead(200);
      atWork -= 1;
    }
    watch.end();
    if (isFound) await clock.sleep(DEADLINE_MS - waitedMs);
    taken -= 1;
  };
  while (clock.now() < durationMs) {
    if (Math.floor(clock.now()) % 400 === 0) slowness = random() < 0.2 ? 3 : 1;
    while (taken < silence.acceptedSlots(ANNOUNCED)) send().catch(assert.unreachable);
    await clock.advance(5);
  }
  return { counts, silence };
};

// Guards against responses that are cut off because a machine is slow or a run is long.
test('no run is taken for silence on a machine that changes its pace', async () => {
  const { counts } = await runLoad({ accepts: ANNOUNCED, durationMs: 60_000 });
  assert.ok(counts.sent > 4000, `${counts.sent} sent`);
  assert.is(counts.cutOff, 0);
});

// Guards against connections that are held until the deadline by an instance that is too full.
test('a limit below the announced slots is learned, and few requests are lost after', async () => {
  const { counts, silence } = await runLoad({ accepts: 5, durationMs: 60_000 });
  const seen = JSON.stringify(counts);
  assert.ok(silence.acceptedSlots(ANNOUNCED) <= 6, seen);
  assert.ok(counts.silent < counts.sent / 100, seen);
  assert.ok(counts.found > 0, seen);
  assert.ok(counts.foundAfterMs < DEADLINE_MS, seen);
  assert.is(counts.cutOff, 0, seen);
  assert.ok(counts.sent > 3000, seen);
});

// Guards against an instance that is hardly used because single connections fail.
test('an instance that loses one request in a hundred keeps most of its slots', async () => {
  for (const seed of [3, 4, 5]) {
    const { counts, silence } = await runLoad({
      accepts: ANNOUNCED, lossRate: 0.01, durationMs: 30_000, seed,
    });
    assert.ok(counts.found > 10, JSON.stringify(counts));
    assert.ok(silence.acceptedSlots(ANNOUNCED) >= ANNOUNCED * 0.75, JSON.stringify(counts));
  }
});

const answer = async (
  clock: ReturnType<typeof createFakeClock>,
  silence: ReturnType<typeof createResponseSilence>,
  count: number,
) => {
  for (let index = 0; index < count; index += 1) {
    const watch = silence.watch('a', clock.now() + DEADLINE_MS);
    watch.start();
    await clock.advance(50);
    watch.recordHead(200);
    watch.end();
  }
};

// Guards against requests that are all given up when the process of an instance pauses.
test('an instance that answers nothing, or too little is known of, is not silent', async () => {
  const clock = createFakeClock();
  const silence = createResponseSilence({ clock, logger: noopLogger });
  const early = silence.watch('a', Infinity);
  assert.is(early.timeoutMs, Infinity);
  await answer(clock, silence, 120);
  const paused = silence.watch('a', Infinity);
  paused.start();
  await clock.advance(5000);
  assert.not.ok(paused.isSilent());
  await answer(clock, silence, 12);
  assert.ok(paused.isSilent());
  assert.is(silence.silentCount(), 1);
  const other = silence.watch('b', Infinity);
  other.start();
  await answer(clock, silence, 20);
  assert.not.ok(other.isSilent(), 'nothing is known of its class');
});

// Guards against what was learned of a process that is gone.
test('another process of the instance starts with all its slots', async () => {
  const { silence } = await runLoad({ accepts: 3, durationMs: 20_000 });
  assert.ok(silence.acceptedSlots(ANNOUNCED) < ANNOUNCED);
  silence.reset();
  assert.is(silence.acceptedSlots(ANNOUNCED), ANNOUNCED);
});

test.run();
