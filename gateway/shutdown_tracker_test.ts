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
  const end = shutdown.trackRequest();
  let isClosed = false;
  shutdown.close().then(() => {
    isClosed = true;
  });
  const endNested = shutdown.trackRequest();
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

test('an idle node is closed at once', () => {
  const shutdown = createShutdownTracker(createFakeClock());
  shutdown.leave(5000);
  shutdown.close();
  assert.is(shutdown.phase(), 'closed');
});

test('requests that do not end keep the node open no longer than the time limit', async () => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  assert.is(shutdown.answerBy(), Number.POSITIVE_INFINITY);
  shutdown.leave(5000);
  assert.is(shutdown.answerBy(), 5000);
  shutdown.trackRequest();
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
  const end = shutdown.trackRequest();
  shutdown.trackRequest();
  end();
  end();
  assert.is(shutdown.activeRequests(), 1);
});

test.run();
