import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createShutdownTracker } from '../gateway/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import { createEndOwner } from '../lifecycle/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createGracefulStop } from './_create_graceful_stop.ts';

const test = suite('graceful stop in steps');

const GRACE_MS = 6000;
const never = new Promise<void>(() => {});

/** Creates the stop of a node with one listener, whose stop ends when `endListener` is called. */
const setUp = ({ closes = true, recentDelayMs = 0 } = {}) => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  const ends = createEndOwner({ clock, logger: noopLogger, exit: () => undefined });
  const listenerEnds = ends.forListener('caller', () => undefined);
  let endListener = () => undefined as void;
  let listenerStops = 0;
  let announcedStops = 0;
  let isStopped = false;
  const listener: HttpListener = {
    listen: async () => '',
    isListening: () => true,
    stop: () => {
      listenerStops += 1;
      return new Promise((resolve) => {
        endListener = resolve;
      });
    },
    readArrived: async () => 0,
    closeIdle: () => undefined,
    kill: () => undefined,
  };
  const stop = createGracefulStop({
    clock,
    graceMs: GRACE_MS,
    shutdown: closes ? shutdown : { ...shutdown, close: () => never },
    ends,
    recentDelayMs: () => recentDelayMs,
    listeners: [listener],
    announceStop: () => {
      announcedStops += 1;
    },
    logger: noopLogger,
  });
  return {
    clock,
    shutdown,
    /** Accepts a request, as a listener does once it has read its head. */
    accept: (deadlineAt: number) => {
      const close = listenerEnds.openRequest();
      const end = shutdown.trackRequest(deadlineAt);
      return () => {
        end();
        close();
      };
    },
    openRequest: listenerEnds.openRequest,
    stop: (sinceMs = 0, isPlanned = true) => {
      stop({ sinceMs, isPlanned }).then(() => {
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
  const end = node.accept(GRACE_MS);
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
  node.accept(GRACE_MS);
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
  node.accept(GRACE_MS);
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

// Guards against an end of the process in which an exception takes the requests in flight with it.
test('an unplanned stop refuses new requests at once and waits for those in flight', async () => {
  const node = setUp();
  const end = node.accept(GRACE_MS);
  node.stop(0, false);
  await node.clock.advance(0);
  assert.is(node.shutdown.phase(), 'closing');
  await node.clock.advance(1000);
  assert.not(node.isStopped());
  end();
  assert.is(node.shutdown.phase(), 'closed');
  await node.clock.advance(60);
  node.endListener();
  await node.clock.advance(0);
  assert.ok(node.isStopped());
});

// Guards against a process in an unknown state that goes on to accept requests for seconds.
test('an unplanned stop ends the wait of a planned one for its callers', async () => {
  const node = setUp();
  node.stop();
  await node.clock.advance(1000);
  assert.is(node.shutdown.phase(), 'leaving');
  node.stop(0, false);
  await node.clock.advance(0);
  assert.is(node.shutdown.phase(), 'closed');
  assert.is(node.announcedStops(), 1);
});

// Guards against an end of the process with a response that is not handed over, although nothing
// that the tracker counts is in flight.
test('the node ends only when every request whose head was read has its response', async () => {
  const node = setUp();
  const close = node.openRequest();
  node.stop();
  await node.clock.advance(2860);
  node.endListener();
  await node.clock.advance(900);
  assert.not(node.isStopped());
  close();
  await node.clock.advance(0);
  assert.ok(node.isStopped());
});

// Guards against requests that are only refused, and never completed by their clients, but keep the
// host without a node until the end of the grace time.
test('an open request that was not accepted delays the stop for a second', async () => {
  const node = setUp();
  node.openRequest();
  node.stop();
  await node.clock.advance(3800);
  assert.not(node.isStopped());
  await node.clock.advance(100);
  assert.ok(node.isStopped());
});

// Guards against a process that is killed at the end of its grace time, with responses that it
// could still have sent, since each of its last steps was late.
test('the node ends earlier where its timers are late', async () => {
  const node = setUp();
  node.accept(GRACE_MS);
  node.stop();
  await node.clock.advance(3000);
  node.clock.jump(400);
  await node.clock.advance(0);
  await node.clock.advance(1790);
  assert.is(node.shutdown.phase(), 'closing');
  await node.clock.advance(160);
  assert.ok(node.isStopped());
  assert.is(node.clock.pending(), 0);
});

// Guards against a process that is killed since its signal had waited for the event loop.
test('the node ends earlier where its event loop was late before the signal', async () => {
  const node = setUp({ recentDelayMs: 300 });
  node.accept(GRACE_MS);
  node.stop();
  await node.clock.advance(4990);
  assert.is(node.shutdown.phase(), 'closing');
  await node.clock.advance(150);
  assert.ok(node.isStopped());
});

// Guards against a reserve that breaks off what an instance runs before the last sixth of the grace
// time.
test('late timers leave requests in flight five sixths of the grace time', async () => {
  const node = setUp({ recentDelayMs: 2000 });
  node.accept(GRACE_MS);
  node.stop();
  await node.clock.advance(4990);
  assert.is(node.shutdown.phase(), 'closing');
  assert.is(node.shutdown.answerBy(), 5000);
  await node.clock.advance(150);
  assert.ok(node.isStopped());
});

// Guards against a process that is killed at the end of its grace time, since a step of its stop
// does not end.
test('a step that hangs does not keep the node beyond its grace time', async () => {
  const node = setUp({ closes: false });
  node.stop();
  await node.clock.advance(5000);
  assert.not(node.isStopped());
  await node.clock.advance(900);
  assert.ok(node.isStopped());
  assert.is(node.clock.pending(), 0);
});

test.run();
