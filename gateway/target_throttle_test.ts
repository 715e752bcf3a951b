import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRandom } from '../admission/_test_support.ts';
import { createFakeClock } from '../clock/mod.ts';
import { createTargetThrottle } from './target_throttle.ts';

const test = suite('target throttle');

const NODES = 70;
/** Requests that the target takes at once. */
const SLOTS = 4;

/** Sends requests of all nodes to one target, which takes a limited number a second. */
const setUp = () => {
  const clock = createFakeClock();
  const random = createRandom(3);
  const throttles = Array.from({ length: NODES }, () => createTargetThrottle({ clock, random }));
  const run = (seconds: number, perSecond: number, capacityPerSecond: number, isLate = false) => {
    let sent = 0;
    let accepted = 0;
    let room = SLOTS;
    for (let request = 0; request < seconds * perSecond; request += 1) {
      clock.jump(1000 / perSecond);
      room = Math.min(SLOTS, room + capacityPerSecond / perSecond);
      const throttle = throttles[Math.floor(random() * NODES)]!;
      if (!throttle.admit('a', isLate)) continue;
      sent += 1;
      const isAccepted = room >= 1;
      throttle.recordEnd('a', isLate, isAccepted);
      if (!isAccepted) continue;
      room -= 1;
      accepted += 1;
    }
    return { sent: sent / seconds, accepted: accepted / seconds };
  };
  return { run, throttles };
};

// The owner of a key with a third of all requests got all of them, and all of its processor time
// went to refusals: it was silent for a second and more.
test('a target that refuses most requests gets few more than it takes', () => {
  const { run } = setUp();
  run(5, 480, 35);
  const { sent, accepted } = run(10, 480, 35);
  assert.ok(sent < 130, `${sent} sent a second`);
  assert.ok(accepted > 31, `${accepted} accepted a second`);
});

test('a target that takes all requests gets all of them', () => {
  const { run } = setUp();
  assert.is(run(10, 480, 1000).sent, 480);
});

test('a target gets all requests again within seconds after it has room', () => {
  const { run } = setUp();
  run(10, 480, 35);
  run(6, 480, 1000);
  assert.ok(run(2, 480, 1000).accepted > 440);
});

test('late requests do not throttle the others', () => {
  const { run } = setUp();
  run(10, 480, 0, true);
  assert.is(run(2, 100, 1000).sent, 100);
});

// A second request was refused while the first one ran at a target that had refused none.
test('requests in flight do not count as refused', () => {
  const { throttles: [throttle] } = setUp();
  for (let request = 0; request < 50; request += 1) assert.ok(throttle!.admit('a', false));
});

test('the number of targets that are remembered is bounded', () => {
  const { throttles: [throttle] } = setUp();
  for (let target = 0; target < 2000; target += 1) throttle!.admit(`t${target}`, false);
  assert.is(throttle!.admit('a', false), true);
});

// Guards against requests of a lower rank that take room of an owner from those of a higher rank.
test('of the requests for an overloaded target, higher ranks are sent first', () => {
  const clock = createFakeClock();
  const throttle = createTargetThrottle({ clock, random: createRandom(3) });
  const sent = [0, 0];
  for (let request = 0; request < 400; request += 1) {
    clock.jump(20);
    throttle.recordExcess('a', { timely: 0.5, late: 0.5 });
    const isHigh = request % 2 === 0;
    if (!throttle.admit('a', false, isHigh ? 0 : 2)) continue;
    throttle.recordEnd('a', false, true);
    sent[Number(!isHigh)]! += 1;
  }
  assert.ok(sent[0]! >= 190 && sent[1]! <= 20, sent.join());
});

test.run();
