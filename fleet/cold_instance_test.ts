import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { trackColdStarts } from './_cold_registry.ts';
import { createTestRegistry, testAnnouncement } from './_test_registry.ts';
import { createColdInstance, type ColdInstanceOptions } from './cold_instance.ts';

const test = suite('cold instance');

const departureLog = { departures: () => [], add: async () => undefined, isSettled: () => true };

const setUp = (changes: Partial<ColdInstanceOptions> = {}) => {
  const clock = createFakeClock();
  const cold = createColdInstance({
    clock,
    logger: noopLogger,
    serviceOf: () => ({ coldPerSecond: 7.7 }) as never,
    coldExcess: 1.5,
    coldSlack: 8,
    ...changes,
  });
  const registry = trackColdStarts(clock, createTestRegistry(clock, departureLog as never), cold);
  let sequence = 0;
  /** Announces the instance 870 ms after its last announcement. */
  const announce = (coldMs: number, startedAt = 5, pauseMs = 870) => {
    clock.jump(pauseMs);
    sequence += 1;
    const changed = { coldMs, startedAt, sequence };
    return registry.announce({ ...testAnnouncement, ...changed });
  };
  announce(0);
  return {
    clock, cold, registry, announce,
  };
};

// Guards against full load on an instance that is cold again, from this node and from all others.
test('an instance is cold as long as it announces, and the directory learns it once', () => {
  const {
    clock, cold, registry, announce,
  } = setUp();
  let changes = 0;
  registry.onChange(() => {
    changes += 1;
  });
  announce(3000);
  assert.ok(cold.isCold() && cold.isAnnouncedCold());
  assert.is(cold.maxPerSecond(), 19);
  assert.is(registry.describe()?.coldUntil, clock.wallTime() + 3000);
  announce(3000 - 830);
  assert.is(changes, 1);
  clock.jump(3000 - 830);
  assert.not.ok(cold.isCold());
});

// Guards against full load on a process that was restarted and has not announced itself yet.
test('lost connections make an instance count as cold until its next announcement', () => {
  const { cold, announce } = setUp();
  cold.recordDoubt('its connections were closed', 4);
  assert.not.ok(cold.isCold(), 'an earlier process is of no concern');
  cold.recordDoubt('its connections were closed', 5);
  assert.ok(cold.isCold());
  assert.not.ok(cold.isAnnouncedCold(), 'keys do not move on a doubt');
  announce(0, 5, 30);
  assert.ok(cold.isCold(), 'the announcement may have been sent before the restart');
  announce(0);
  assert.not.ok(cold.isCold());
  assert.is(announce(3000, 9, 200), false);
  assert.ok(cold.isCold(), 'the registry uses a newer process only after two announcements');
});

// Guards against a domain whose instances come back cold together after its evacuation.
test('the end of an evacuation makes an instance count as cold until it announces', () => {
  let endedForMs = Infinity;
  const { clock, cold, announce } = setUp({ evacuationEndedForMs: () => endedForMs });
  clock.jump(500);
  assert.not.ok(cold.isCold());
  endedForMs = 1;
  assert.ok(cold.isCold());
  announce(0);
  endedForMs = 871;
  assert.not.ok(cold.isCold());
});

// Earlier deployments must behave as before.
test('without a bound in the contract or the settings, an instance is never limited', () => {
  for (const missing of [
    { serviceOf: () => undefined }, { coldExcess: undefined }, { coldSlack: undefined },
  ]) {
    const {
      clock, cold, announce, registry,
    } = setUp(missing);
    cold.recordDoubt('its address refused a connection');
    announce(3000);
    assert.not.ok(cold.isCold());
    assert.is(cold.maxPerSecond(), Infinity);
    assert.ok(registry.describe()!.coldUntil < clock.wallTime());
  }
});

test.run();
