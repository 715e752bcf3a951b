import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createDemandMeter, type DemandRequest } from './demand_meter.ts';

const test = suite('demand meter');

const setUp = () => {
  const clock = createFakeClock();
  const meter = createDemandMeter({ clock, random: () => 0.5 });
  const requestOf = (change: Partial<DemandRequest> = {}): DemandRequest => ({
    latencyTargetAt: clock.now() + 400,
    withheld: 0,
    ...change,
  });
  return { clock, meter, requestOf };
};

// Once senders withhold requests, those that arrive are mostly taken, and alone would hide it.
test('the requests that senders withheld count as demand', () => {
  const { meter, requestOf } = setUp();
  for (let request = 0; request < 50; request += 1) meter.open(requestOf({ withheld: 7 }))(true);
  const { timely, late } = meter.excess();
  assert.ok(timely > 0.5, `${timely}`);
  assert.is(late, 0);
});

test('late requests and nested calls do not count as timely demand', () => {
  const { clock, meter, requestOf } = setUp();
  for (let request = 0; request < 50; request += 1) {
    meter.open(requestOf({ latencyTargetAt: clock.now() - 1 }))(false);
    meter.open(requestOf({ isNestedCall: true }))(false);
  }
  const { timely, late } = meter.excess();
  assert.is(timely, 0);
  assert.ok(late > 0.9, `${late}`);
});

// Guards against withholding requests from an instance that may well take the next one.
test('an instance that refuses some requests at random gets all of them', () => {
  const { meter } = setUp();
  for (let request = 0; request < 100; request += 1) meter.recordInstance(request % 2 === 0);
  assert.ok(meter.admit());
  assert.is(meter.excess().timely, 0);
});

test('an instance that refuses everything gets few requests, and tells the senders', () => {
  const { clock, meter } = setUp();
  for (let request = 0; request < 50; request += 1) meter.recordInstance(false);
  assert.not(meter.admit());
  assert.ok(meter.excess().timely > 0.9);
  clock.jump(5000);
  for (let request = 0; request < 10; request += 1) meter.recordInstance(true);
  assert.ok(meter.admit());
});

// Guards against a single refusal that has the requests of a calm fleet withheld for a second.
test('a few refusals at low load withhold nothing', () => {
  const { meter, requestOf } = setUp();
  for (let request = 0; request < 5; request += 1) {
    meter.open(requestOf())(false);
    meter.recordInstance(false);
  }
  assert.equal(meter.excess(), { timely: 0, late: 0 });
});

test.run();
