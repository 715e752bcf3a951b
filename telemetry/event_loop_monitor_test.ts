import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createEventLoopMonitor, type ProcessUsage } from './event_loop_monitor.ts';
import type { LogFields, Logger } from './logger.ts';

const test = suite('event loop monitor');

const setUp = () => {
  const clock = createFakeClock();
  const lines: LogFields[] = [];
  let usage: ProcessUsage = { idleMs: 0, activeMs: 0, processorMs: 0 };
  const logger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: (fields) => {
      lines.push(fields);
    },
    error: () => undefined,
    forComponent: () => logger,
  };
  const monitor = createEventLoopMonitor({ clock, logger, usage: () => usage });
  const use = (activeMs: number, idleMs: number) => {
    usage = {
      idleMs: usage.idleMs + idleMs,
      activeMs: usage.activeMs + activeMs,
      processorMs: usage.processorMs + activeMs / 4,
    };
    clock.jump(activeMs + idleMs);
  };
  return { monitor, lines, use };
};

// Saturation of the processor was not visible: requests timed out while all slots were free.
test('a busy event loop is logged once a second with the delay of the requests', () => {
  const { monitor, lines, use } = setUp();
  for (let request = 0; request < 40; request += 1) {
    use(45, 5);
    monitor.record(request % 2 === 0 ? 20 : 40, request === 3, request < 8);
  }
  assert.is(lines.length, 2);
  assert.equal(lines[0], {
    intervalMs: 1000,
    utilization: 0.9,
    processorMs: 225,
    requests: 20,
    gone: 1,
    newConnections: 8,
    delayMs: 30,
    maxDelayMs: 40,
  });
  assert.is(monitor.utilization(), 0.9);
  assert.is(monitor.maxDelayMs(), 40);
});

test('an event loop with idle time is not logged', () => {
  const { monitor, lines, use } = setUp();
  for (let request = 0; request < 40; request += 1) {
    use(25, 25);
    monitor.record(2, false);
  }
  assert.is(lines.length, 0);
  assert.is(monitor.utilization(), 0.5);
});

test('a single long delay is logged although the event loop is mostly idle', () => {
  const { monitor, lines, use } = setUp();
  use(100, 900);
  monitor.record(90, false);
  assert.is(lines.length, 1);
  assert.is(lines[0]!.maxDelayMs, 90);
});

test.run();
