import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRunningRequests } from './mod.ts';

const test = suite('running requests');

// Nested calls were known by the highest priority only, which their routes need not have. They
// were refused like new requests, and the requests that made them had run in vain.
test('a request is a nested call while the request that its identifier extends is running', () => {
  const running = createRunningRequests();
  assert.is(running.isNestedCall('a1.b2'), false);
  const end = running.start('a1');
  assert.is(running.isNestedCall('a1.b2'), true);
  assert.is(running.isNestedCall('a1'), false);
  assert.is(running.isNestedCall('a1b.2'), false);
  assert.is(running.isNestedCall('.b2'), false);
  end();
  assert.is(running.isNestedCall('a1.b2'), false);
});

test('a nested call may make calls of its own', () => {
  const running = createRunningRequests();
  const end = running.start('a1.b2');
  assert.is(running.isNestedCall('a1.b2.c3'), true);
  assert.is(running.isNestedCall('a1.c3'), false);
  end();
});

test('a request that runs twice has ended once both runs have', () => {
  const running = createRunningRequests();
  const ends = [running.start('a1'), running.start('a1')];
  ends[0]!();
  assert.is(running.isNestedCall('a1.b2'), true);
  ends[1]!();
  assert.is(running.isNestedCall('a1.b2'), false);
});

test.run();
