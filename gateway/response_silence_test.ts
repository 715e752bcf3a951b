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

/**
 * Keeps all slots in use by an instance that never answers what is beyond `accepts`, nor a part of
 * the rest. The machine is three times as slow in a fifth of its phases of 400 ms, and slots of
 * silent connections are taken until the deadline.
 */
const runLoad = async (accepts: number, durationMs: number, lossRate = 0, seed = 3) => {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const silence = createResponseSilence({ clock, logger: noopLogger });
  const counts = {
    sent: 0, silent: 0, found: 0, cutOff: 0,
  };
  let taken = 0;
  let atWork = 0;
  let slowness = 1;
  const send = async () => {
    const isLost = atWork >= accepts || random() < lossRate;
    const runMs = isLost ? Infinity : MEAN_MS * slowness * (0.3 - Math.log(1 - random()) * 0.7);
    const watch = silence.watch('safe/1/300', clock.now() + DEADLINE_MS);
    watch.start();
    taken += 1;
    counts.sent += 1;
    counts.silent += Number(isLost);
    atWork += Number(!isLost);
    let isFound = false;
    const sentAt = clock.now();
    const endsAt = clock.now() + Math.min(runMs, DEADLINE_MS);
    while (clock.now() < endsAt && !isFound) {
      await clock.sleep(Math.min(watch.timeoutMs, endsAt - clock.now()));
      isFound = clock.now() < endsAt && watch.isSilent();
    }
    counts.found += Number(isFound && isLost);
    counts.cutOff += Number(isFound && !isLost);
    atWork -= Number(!isLost);
    if (!isLost && !isFound) watch.recordHead(200);
    watch.end();
    if (isFound) await clock.sleep(sentAt + DEADLINE_MS - clock.now());
    taken -= 1;
  };
  while (clock.now() < durationMs) {
    if (Math.floor(clock.now()) % 400 === 0) slowness = random() < 0.2 ? 3 : 1;
    while (taken < silence.acceptedSlots(ANNOUNCED)) send().catch(assert.unreachable);
    await clock.advance(5);
  }
  return { ...counts, silence, accepted: silence.acceptedSlots(ANNOUNCED) };
};

// Guards against responses that are cut off because a machine is slow or a run is long.
test('no run is taken for silence on a machine that changes its pace', async () => {
  const { sent, cutOff } = await runLoad(ANNOUNCED, 60_000);
  assert.ok(sent > 4000, `${sent} sent`);
  assert.is(cutOff, 0);
});

// Guards against requests that an instance which accepts less than it announces leaves unanswered.
test('a limit below the announced slots is learned, and forgotten with the process', async () => {
  const { silence, accepted, ...counts } = await runLoad(5, 60_000);
  const seen = `${accepted}, ${JSON.stringify(counts)}`;
  assert.ok(accepted <= 6 && counts.found > 0 && counts.cutOff === 0, seen);
  assert.ok(counts.sent > 3000 && counts.silent < counts.sent / 100, seen);
  silence.reset();
  assert.is(silence.acceptedSlots(ANNOUNCED), ANNOUNCED);
});

// Guards against an instance that is hardly used because single connections fail.
test('an instance that loses one request in a hundred keeps most of its slots', async () => {
  for (const seed of [3, 4, 5]) {
    const { accepted, found } = await runLoad(ANNOUNCED, 30_000, 0.01, seed);
    assert.ok(found > 10 && accepted >= ANNOUNCED * 0.75, `${found} found, ${accepted} accepted`);
  }
});

// Guards against requests that are all given up when the process of an instance pauses.
test('an instance that answers nothing, or too little is known of, is not silent', async () => {
  const clock = createFakeClock();
  const silence = createResponseSilence({ clock, logger: noopLogger });
  const open = (workClass: string) => {
    const watch = silence.watch(workClass, Infinity);
    watch.start();
    return watch;
  };
  const answer = (count: number) => {
    for (let index = 0; index < count; index += 1) {
      const watch = open('a');
      clock.jump(50);
      watch.recordHead(200);
      watch.end();
    }
  };
  assert.is(open('a').timeoutMs, Infinity);
  answer(120);
  const paused = open('a');
  const unknown = open('b');
  clock.jump(5000);
  assert.not.ok(paused.isSilent());
  answer(14);
  assert.ok(paused.isSilent());
  assert.not.ok(unknown.isSilent());
  assert.is(silence.silentCount(), 1);
});

// Guards against slots that stay unused after long runs were taken for silent connections.
test('a response on a silent connection takes back what was learned from it', async () => {
  const clock = createFakeClock();
  const silence = createResponseSilence({ clock, logger: noopLogger });
  const open = () => {
    const watch = silence.watch('a', clock.now() + 60_000);
    watch.start();
    return watch;
  };
  const answer = (count: number) => {
    for (let index = 0; index < count; index += 1) {
      const watch = open();
      clock.jump(50);
      watch.recordHead(200);
      watch.end();
    }
  };
  answer(120);
  const long = [open(), open(), open()];
  answer(14);
  assert.equal(long.map((watch) => watch.isSilent()), [true, true, true]);
  assert.is(silence.acceptedSlots(ANNOUNCED), 2);
  assert.not.ok(long[2]!.isSilent(), 'a connection is found silent once');
  long[2]!.recordHead(200);
  long[2]!.end();
  assert.is(silence.acceptedSlots(ANNOUNCED), ANNOUNCED);
  assert.is(open().timeoutMs, 2 * 14 * 50, 'the long run counts as one of its class');
});

test.run();
