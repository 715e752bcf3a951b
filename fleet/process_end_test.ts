import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createDepartureLog } from '../directory/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createTestRegistry, testAnnouncement } from './_test_registry.ts';

const test = suite('end of a process');

const LONGEST_WORK_MS = 1500;
const INTERVAL_MS = 870;
const PROBE_MS = 250;

const setUp = async ({ longestWorkMs = LONGEST_WORK_MS } = {}) => {
  const clock = createFakeClock();
  const log = createDepartureLog({
    clock, store: createMemoryLeasedStore(clock), node: 'host-1', logger: noopLogger,
  });
  const instance = { isListening: true, isAtWork: false };
  const registry = createTestRegistry(clock, log, {
    announceIntervalMs: INTERVAL_MS,
    longestWorkMs: () => longestWorkMs,
    isConnectionRefused: async () => !instance.isListening,
    openPort: () => ({
      send: async () => ({ kind: 'failed', status: 500 }),
      hasUnfinishedWork: () => instance.isAtWork,
      close: () => undefined,
    }),
  });
  const stopping = new AbortController();
  log.run(stopping.signal);
  await clock.advance(0);
  /** Probes the instance at the interval of a node until a time has passed. */
  const run = async (durationMs: number) => {
    const endsAt = clock.now() + durationMs;
    while (clock.now() < endsAt) {
      registry.probe();
      await clock.advance(Math.min(PROBE_MS, endsAt - clock.now()));
    }
  };
  return {
    clock, instance, registry, run, stop: () => stopping.abort(),
  };
};

// Guards against two holders of a key: a listener that is closed was taken for the process's end.
test('an instance that closed its listener is gone once its work is finished', async () => {
  const {
    instance, registry, run, stop,
  } = await setUp();
  await run(LONGEST_WORK_MS);
  registry.announce(testAnnouncement);
  registry.leave('i-1', testAnnouncement.startedAt);
  await run(2 * INTERVAL_MS);
  Object.assign(instance, { isListening: false, isAtWork: true });
  await run(2000);
  assert.is(registry.local()?.state, 'down');
  assert.not.ok(registry.isProcessGone());
  instance.isAtWork = false;
  await run(2 * PROBE_MS);
  assert.ok(registry.isProcessGone());
  stop();
});

// Guards against two holders of a key: one that leaves goes on to announce those that it holds.
test('an instance that leaves and still announces itself is not gone', async () => {
  const {
    instance, registry, run, stop,
  } = await setUp();
  await run(LONGEST_WORK_MS);
  registry.announce(testAnnouncement);
  instance.isListening = false;
  for (let sequence = 2; sequence < 6; sequence += 1) {
    registry.announce({ ...testAnnouncement, sequence, isDraining: true });
    await run(INTERVAL_MS);
    assert.not.ok(registry.isProcessGone());
  }
  await run(INTERVAL_MS);
  assert.ok(registry.isProcessGone());
  stop();
});

// Guards against a node that was restarted and takes a closed listener for the end of a process
// to which its earlier process has sent requests.
test('a restarted node waits for the requests that its earlier process sent', async () => {
  const {
    instance, registry, run, stop,
  } = await setUp();
  instance.isListening = false;
  await run(LONGEST_WORK_MS - PROBE_MS);
  assert.not.ok(registry.isProcessGone());
  await run(3 * PROBE_MS);
  assert.ok(registry.isProcessGone());
  stop();
});

test('a restarted node waits also if the instance has announced itself to it', async () => {
  const {
    instance, registry, run, stop,
  } = await setUp();
  registry.announce(testAnnouncement);
  registry.leave('i-1', testAnnouncement.startedAt);
  instance.isListening = false;
  await run(LONGEST_WORK_MS - PROBE_MS);
  assert.is(registry.local()?.state, 'down');
  assert.not.ok(registry.isProcessGone());
  await run(3 * PROBE_MS);
  assert.ok(registry.isProcessGone());
  stop();
});

// Guards against a takeover that waits although the node has sent all requests itself.
test('an instance that started after its node is gone as soon as it refuses', async () => {
  const {
    clock, instance, registry, run, stop,
  } = await setUp({ longestWorkMs: 10_000 });
  registry.announce({ ...testAnnouncement, startedAt: clock.wallTime() });
  await run(3 * INTERVAL_MS);
  assert.is(registry.local()?.state, 'silent');
  instance.isListening = false;
  await run(2 * PROBE_MS);
  assert.ok(registry.isProcessGone());
  stop();
});

// Guards against two holders of a key: a new process may listen while the former one finishes.
test('a process has succeeded only once the work of the former one is finished', async () => {
  const {
    clock, instance, registry, run, stop,
  } = await setUp();
  await run(LONGEST_WORK_MS);
  registry.announce(testAnnouncement);
  registry.leave('i-1', testAnnouncement.startedAt);
  instance.isAtWork = true;
  const next = { ...testAnnouncement, instance: 'i-2', startedAt: clock.wallTime() };
  registry.announce(next);
  registry.announce({ ...next, sequence: 2 });
  assert.is(registry.local()?.instance, 'i-2');
  assert.not.ok(registry.hasSucceeded());
  instance.isAtWork = false;
  assert.ok(registry.hasSucceeded());
  stop();
});

test.run();
