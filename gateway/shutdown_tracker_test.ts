import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createShutdownTracker } from './mod.ts';

const test = suite('shutdown tracker');

// A request could be accepted between the end of the last one and the end of the wait for it.
test('no request is accepted from the moment at which the last one has ended', async () => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  shutdown.leave(5000);
  const end = shutdown.trackRequest(2000);
  let isClosed = false;
  shutdown.close().then(() => {
    isClosed = true;
  });
  const endNested = shutdown.trackRequest(2000);
  end();
  await clock.advance(100);
  assert.is(shutdown.phase(), 'closing');
  assert.not(isClosed);
  endNested();
  assert.is(shutdown.phase(), 'closed');
  await clock.advance(0);
  assert.ok(isClosed);
  assert.is(clock.pending(), 0);
});

// Guards against a process that cancels the request of a half-closed connection while the stop of
// the process before it is still to lose no answer.
test('half-open connections are kept while the stop of an earlier process lasts', async () => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  assert.not(shutdown.keepsHalfOpen());
  shutdown.followStop(clock.now() + 3000);
  await clock.advance(2000);
  assert.ok(shutdown.keepsHalfOpen());
  // An exception does not end the stop of the host.
  shutdown.leave(5000);
  await clock.advance(999);
  assert.ok(shutdown.keepsHalfOpen());
  await clock.advance(1);
  assert.not(shutdown.keepsHalfOpen());
});

// Guards against work for clients that have left after an exception, which nobody planned.
test('half-open connections are kept in a planned stop, and not after an exception alone', () => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  shutdown.leave(5000);
  assert.not(shutdown.keepsHalfOpen());
  shutdown.markPlanned();
  assert.ok(shutdown.keepsHalfOpen());
});

test('an idle node is closed at once', () => {
  const shutdown = createShutdownTracker(createFakeClock());
  shutdown.leave(5000);
  shutdown.close();
  assert.is(shutdown.phase(), 'closed');
});

// Calls that a running request makes expire at its deadline, whatever their priority is.
test('a closing node accepts proven calls that end with the requests in flight', async () => {
  const shutdown = createShutdownTracker(createFakeClock());
  assert.ok(shutdown.mayAccept(Infinity));
  shutdown.leave(5000);
  assert.ok(shutdown.mayAccept(Infinity));
  const end = shutdown.trackRequest(2000);
  const endFirst = shutdown.trackRequest(3000);
  shutdown.close();
  assert.ok(shutdown.mayAccept(3000, true));
  assert.not(shutdown.mayAccept(4000, true));
  endFirst();
  assert.ok(shutdown.mayAccept(2000, true));
  assert.not(shutdown.mayAccept(3000, true));
  end();
  assert.not(shutdown.mayAccept(0, true));
});

// A request of a caller that a closing node accepted could lose its connection unanswered.
test('a closing node accepts nothing that is not proven to be a call', async () => {
  const shutdown = createShutdownTracker(createFakeClock());
  shutdown.trackRequest(3000);
  assert.ok(shutdown.mayAccept(2000, false));
  shutdown.leave(5000);
  assert.ok(shutdown.mayAccept(2000, false));
  shutdown.close();
  assert.not(shutdown.mayAccept(2000, false));
  assert.not(shutdown.mayAccept(2000));
  assert.ok(shutdown.mayAccept(2000, true));
});

// A request that outlasts the grace time would be broken off while its instance is at work.
test('a closing node accepts nothing that ends after the time limit', async () => {
  const shutdown = createShutdownTracker(createFakeClock());
  shutdown.leave(2000);
  shutdown.trackRequest(3000);
  shutdown.close();
  assert.ok(shutdown.mayAccept(2000, true));
  assert.not(shutdown.mayAccept(2500, true));
});

// Guards against a chain of requests that prolongs the stop, each a little.
test('accepted requests do not move the latest deadline', () => {
  const shutdown = createShutdownTracker(createFakeClock());
  shutdown.leave(5000);
  shutdown.trackRequest(2000);
  shutdown.close();
  let deadlineAt = 2000;
  while (shutdown.mayAccept(deadlineAt + 1, true)) deadlineAt += 1;
  assert.ok(deadlineAt > 2000);
  shutdown.trackRequest(deadlineAt);
  assert.not(shutdown.mayAccept(deadlineAt + 1, true));
});

test('requests that do not end keep the node open no longer than the time limit', async () => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  assert.is(shutdown.answerBy(), Number.POSITIVE_INFINITY);
  shutdown.leave(5000);
  assert.is(shutdown.answerBy(), 5000);
  shutdown.trackRequest(2000);
  shutdown.close();
  await clock.advance(4999);
  assert.is(shutdown.phase(), 'closing');
  await clock.advance(1);
  assert.is(shutdown.phase(), 'closed');
});

// A second signal made a closing node accept requests again.
test('a phase is never left for an earlier one', async () => {
  const shutdown = createShutdownTracker(createFakeClock());
  shutdown.leave(5000);
  await shutdown.close();
  shutdown.leave(9000);
  shutdown.close();
  assert.is(shutdown.phase(), 'closed');
  assert.is(shutdown.answerBy(), 5000);
});

test('a request is counted until its first end', async () => {
  const shutdown = createShutdownTracker(createFakeClock());
  const end = shutdown.trackRequest(2000);
  shutdown.trackRequest(2000);
  end();
  end();
  assert.is(shutdown.activeRequests(), 1);
});

test.run();
