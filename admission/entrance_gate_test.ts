import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createRandom } from './_test_support.ts';
import { createEntranceGate } from './mod.ts';

const test = suite('entrance gate');

const setUp = () => {
  const clock = createFakeClock();
  const random = createRandom(5);
  const changes: boolean[] = [];
  const gate = createEntranceGate({
    clock, onChange: (_, isHoldingBack) => changes.push(isHoldingBack),
  });
  let room = 0;
  /** Offers 20 requests a second alternately of two classes; returns the fractions admitted. */
  const offer = (
    seconds: number,
    roomPerSecond: number,
    classes: readonly (readonly [rank: number, isLate: boolean])[],
  ) => {
    const admitted = classes.map(() => 0);
    for (let request = 0; request < seconds * 20; request += 1) {
      clock.jump(50);
      room = Math.min(4, room + roomPerSecond / 20);
      const [rank, isLate] = classes[request % classes.length]!;
      if (!gate.admit({
        service: 'shop', rank, isLate, draw: random(),
      })) continue;
      admitted[request % classes.length]! += classes.length / (seconds * 20);
      if (room >= 1) room -= 1;
      else gate.recordRefused('shop');
    }
    return admitted;
  };
  return { offer, changes, clock };
};

// Guards against lower ranks that take the room of higher ones, and late requests that of others.
test('without room for all, higher ranks go first, and timely requests within a rank', () => {
  for (const low of [[2, false], [1, true]] as const) {
    const { offer } = setUp();
    offer(5, 10, [[1, false], low]);
    const [high, lower] = offer(20, 10, [[1, false], low]);
    assert.ok(high! >= 0.9, `${high} of the first class`);
    assert.ok(lower! <= 0.35, `${lower} of the second class`);
  }
});

// Guards against a node that keeps refusing its callers after the load peak has passed.
test('room that comes back is noticed within about a second', () => {
  const { offer, changes } = setUp();
  offer(10, 5, [[1, false]]);
  offer(1.2, 20, [[1, false]]);
  const [admitted] = offer(2, 20, [[1, false]]);
  assert.ok(admitted! >= 0.95, `${admitted} admitted`);
  offer(5, 20, [[1, false]]);
  assert.equal(changes, [true, false]);
});

test('nothing is held back while nearly all requests are taken, also at a sudden rise', () => {
  const { offer, changes } = setUp();
  offer(5, 40, [[2, true]]);
  assert.equal(offer(5, 40, [[1, false], [3, false]]).map(Math.round), [1, 1]);
  assert.equal(changes, []);
});

// Guards against services that are never tried again once all their instances refused.
test('a service that takes nothing is probed', () => {
  const { offer } = setUp();
  offer(10, 0, [[1, false]]);
  const [admitted] = offer(10, 0, [[1, false]]);
  assert.ok(admitted! > 0.02 && admitted! < 0.1, `${admitted} probes`);
});

test.run();
