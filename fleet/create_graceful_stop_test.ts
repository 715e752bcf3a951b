import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createShutdownTracker } from '../gateway/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createGracefulStop } from './_create_graceful_stop.ts';

const test = suite('graceful stop in steps');

const GRACE_MS = 6000;

/** Creates the stop of a node with one listener, whose stop ends when `endListener` is called. */
const setUp = () => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  let endListener = () => undefined as void;
  let listenerStops = 0;
  let announcedStops = 0;
  let isStopped = false;
  const listener: HttpListener = {
    listen: async () => '',
    stop: () => {
      listenerStops += 1;
      return new Promise((resolve) => {
        endListener = resolve;
      });
    },
    kill: () => undefined,
  };
  const stop = createGracefulStop({
    clock,
    graceMs: GRACE_MS,
    shutdown,
    listeners: [listener],
    announceStop: () => {
      announcedStops += 1;
    },
    logger: noopLogger,
  });
  return {
    clock,
    shutdown,
    stop: (sinceSignalMs?: number) => {
      stop(sinceSignalMs).then(() => {
        isStopped = true;
      });
    },
    endListener: () => endListener(),
    listenerStops: () => listenerStops,
    announcedStops: () => announcedStops,
    isStopped: () => isStopped,
  };
};

// The process exited a fixed time after the wait for idle, whether or not responses were sent.
test('the node ends only when its listeners have sent their responses', async () => {
  const node = setUp();
  node.stop();
  await node.clock.advance(3500);
  assert.is(node.shutdown.phase(), 'closed');
  assert.is(node.listenerStops(), 1);
  assert.not(node.isStopped());
  node.endListener();
  await node.clock.advance(0);
  assert.ok(node.isStopped());
  assert.is(node.clock.pending(), 0);
});

test('nested calls are accepted until the requests in flight have ended', async () => {
  const node = setUp();
  const end = node.shutdown.trackRequest(GRACE_MS);
  node.stop();
  await node.clock.advance(2000);
  assert.is(node.shutdown.phase(), 'leaving');
  await node.clock.advance(2000);
  assert.is(node.shutdown.phase(), 'closing');
  end();
  assert.is(node.shutdown.phase(), 'closed');
});

test('a request that does not end delays the stop to the end of the grace time', async () => {
  const node = setUp();
  node.shutdown.trackRequest(GRACE_MS);
  node.stop();
  await node.clock.advance(5300);
  assert.is(node.shutdown.phase(), 'closed');
  assert.not(node.isStopped());
  await node.clock.advance(300);
  assert.ok(node.isStopped());
});

// The grace time was counted from the end of the start, so that the process was killed before its
// stop ended when the signal came during the start.
test('the grace time counts from the signal to stop', async () => {
  const node = setUp();
  node.shutdown.trackRequest(GRACE_MS);
  node.stop(2000);
  await node.clock.advance(800);
  assert.is(node.shutdown.phase(), 'closing');
  await node.clock.advance(2700);
  assert.ok(node.isStopped());
});

// A connection whose request is never completed would keep the host without a node for seconds.
test('an open connection without a request in flight delays the stop for a second', async () => {
  const node = setUp();
  node.stop();
  await node.clock.advance(3800);
  assert.not(node.isStopped());
  await node.clock.advance(100);
  assert.ok(node.isStopped());
});

// The stop began anew at a second signal, and the node accepted requests again.
test('a second stop joins the first one', async () => {
  const node = setUp();
  node.stop();
  await node.clock.advance(3500);
  node.stop();
  await node.clock.advance(0);
  assert.is(node.shutdown.phase(), 'closed');
  assert.is(node.announcedStops(), 1);
  node.endListener();
  await node.clock.advance(0);
  assert.ok(node.isStopped());
});

test.run();
