import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { trackColdStarts } from './_cold_registry.ts';
import { createTestRegistry, testAnnouncement } from './_test_registry.ts';
import { createColdInstance, type ColdInstanceOptions } from './cold_instance.ts';

const test = suite('cold instance');

const ANNOUNCE_INTERVAL_MS = 870;

const setUp = (changes: Partial<ColdInstanceOptions> = {}) => {
  const clock = createFakeClock();
  const cold = createColdInstance({
    clock,
    logger: noopLogger,
    serviceOf: (name) => ({
      name, keyed: false, maxConnections: 100, coldPerSecond: 7.7,
    }),
    coldExcess: 1.5,
    coldSlack: 8,
    ...changes,
  });
  const registry = trackColdStarts(clock, createTestRegistry(clock, {
    departures: () => [], add: () => Promise.resolve(undefined), isSettled: () => true,
  } as never), cold);
  let sequence = 0;
  const announce = (coldMs: number, startedAt = 5) => {
    sequence += 1;
    return registry.announce({
      ...testAnnouncement, coldMs, startedAt, sequence,
    });
  };
  return {
    clock, cold, registry, announce,
  };
};

test('an instance is cold as long as it announces, also when it becomes cold again', async () => {
  const { clock, cold, announce } = setUp();
  announce(1500);
  assert.is(cold.maxPerSecond(), 19);
  assert.ok(cold.isCold() && cold.isAnnouncedCold());
  await clock.advance(1500);
  assert.not.ok(cold.isCold());
  announce(600);
  assert.ok(cold.isCold());
});

// Guards against loads as on a warm instance, which all nodes send to one that is cold again.
test('the directory learns that an instance has become cold again, with few writes', async () => {
  const { clock, registry, announce } = setUp();
  let changes = 0;
  announce(0);
  registry.onChange(() => {
    changes += 1;
  });
  await clock.advance(ANNOUNCE_INTERVAL_MS);
  announce(3000);
  assert.is(registry.describe()?.coldUntil, clock.wallTime() + 3000);
  await clock.advance(ANNOUNCE_INTERVAL_MS);
  announce(3000 - ANNOUNCE_INTERVAL_MS + 40);
  assert.is(changes, 1);
});

// Guards against full load on a process that was restarted and has not announced itself yet.
test('lost connections make an instance count as cold until its next announcement', async () => {
  const { clock, cold, announce } = setUp();
  announce(0);
  cold.recordDoubt('its connections were closed', 4);
  assert.not.ok(cold.isCold(), 'an earlier process is of no concern');
  cold.recordDoubt('its connections were closed', 5);
  assert.ok(cold.isCold());
  assert.not.ok(cold.isAnnouncedCold(), 'keys do not move on a doubt');
  await clock.advance(30);
  announce(0);
  assert.ok(cold.isCold(), 'the announcement may have been sent before the restart');
  await clock.advance(ANNOUNCE_INTERVAL_MS);
  announce(0);
  assert.not.ok(cold.isCold());
});

// The registry uses a restarted process only once it has announced itself twice.
test('an announcement of a newer process that is not used yet raises a doubt', async () => {
  const { clock, cold, announce } = setUp();
  announce(0);
  await clock.advance(200);
  assert.is(announce(3000, 9), false);
  assert.ok(cold.isCold());
});

// Guards against a domain whose instances come back cold together after its evacuation.
test('the end of an evacuation makes an instance count as cold until it announces', async () => {
  let endedAt = Infinity;
  const { clock, cold, announce } = setUp({
    evacuationEndedForMs: () => (endedAt === Infinity ? Infinity : clock.now() - endedAt),
  });
  announce(0);
  await clock.advance(500);
  endedAt = clock.now();
  await clock.advance(1);
  assert.ok(cold.isCold());
  await clock.advance(ANNOUNCE_INTERVAL_MS);
  announce(0);
  assert.not.ok(cold.isCold());
});

// Earlier deployments must behave as before.
test('without a bound in the contract or the settings, an instance is never limited', () => {
  for (const changes of [
    { serviceOf: () => undefined }, { coldExcess: undefined }, { coldSlack: undefined },
  ]) {
    const {
      clock, cold, announce, registry,
    } = setUp(changes);
    announce(0);
    cold.recordDoubt('its address refused a connection');
    announce(3000);
    assert.not.ok(cold.isCold());
    assert.is(cold.maxPerSecond(), Infinity);
    assert.is(registry.describe()?.coldUntil, clock.wallTime());
  }
});

test.run();
