import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createAcceptanceRate } from './acceptance_rate.ts';

const test = suite('acceptance rate');

const setUp = () => {
  const clock = createFakeClock();
  const rate = createAcceptanceRate({ clock, halfLifeMs: 1000, sentPerAccepted: 2 });
  return { clock, rate };
};

test('without requests, and while most are taken, there is no excess', () => {
  const { rate } = setUp();
  assert.is(rate.excess(), 0);
  for (let request = 0; request < 100; request += 1) rate.record(request % 2 === 0);
  assert.is(rate.excess(), 0);
});

test('the excess grows with the fraction that is refused, and passes with time', () => {
  const { clock, rate } = setUp();
  rate.record(true, 10);
  rate.record(false, 90);
  const excess = rate.excess();
  assert.ok(excess > 0.7 && excess < 0.8, `${excess}`);
  clock.jump(20_000);
  assert.ok(rate.excess() < 0.01);
});

test('a few refusals are no lack of capacity', () => {
  const { rate } = setUp();
  rate.record(false);
  assert.ok(rate.excess() <= 0.25);
});

test.run();
