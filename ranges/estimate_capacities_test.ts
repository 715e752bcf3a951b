import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { estimateCapacities, type InstanceWork } from './mod.ts';

const test = suite('capacities');

const workOf = (lookups: number, lookupMs: number, probes: number): InstanceWork => ({
  slots: 4,
  classes: [
    { workClass: 'lookup', runs: lookups, totalMs: lookups * lookupMs },
    { workClass: 'probe', runs: probes, totalMs: probes * 2 },
  ],
});

// Owners without busy keys reported 3600 requests/s from runs of 2 ms; all keys moved to them.
test('an instance that has run short requests only has no huge capacity', () => {
  const [busy, alsoBusy, idle] = estimateCapacities([
    workOf(200, 100, 10), workOf(150, 100, 10), workOf(0, 0, 10),
  ])!;
  assert.ok(busy! >= 38 && busy! <= 46, `${busy}`);
  assert.ok(Math.abs(alsoBusy! - busy!) <= 2, `${alsoBusy}`);
  assert.ok(Math.abs(idle! - busy!) <= 4, `${idle}`);
});

test('an instance that is slower with the same requests has less capacity', () => {
  const [fast, slow] = estimateCapacities([workOf(200, 70, 10), workOf(100, 170, 10)])!;
  assert.ok(fast! > slow! * 2, `${fast}, ${slow}`);
});

test('the capacity grows with the slots', () => {
  const few = workOf(100, 100, 0);
  const [small, large] = estimateCapacities([few, { ...few, slots: 8 }])!;
  assert.is(Math.round(large! / small!), 2);
});

test('no capacity is known before the first run', () => {
  assert.is(estimateCapacities([workOf(0, 0, 0)]), undefined);
});

test.run();
