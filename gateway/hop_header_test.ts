import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { formatHop, parseHop } from './_hop_header.ts';
import type { GatewayRequest } from './request.ts';

const test = suite('hop header');

const request: GatewayRequest = {
  requestId: 'r-1',
  service: 'ledger',
  kind: 'safe',
  priority: 2,
  workClass: 'safe/2/300',
  key: 17,
  instance: 'i-1',
  method: 'GET',
  path: '/',
  headers: [],
  body: null,
  deadlineAt: 2000,
  latencyTargetAt: 900,
  isCallerRetry: true,
  withheld: 3,
  signal: new AbortController().signal,
};

test('a decoded header equals what was encoded, with a latency target in the past too', () => {
  assert.equal(parseHop(formatHop(request, 1000)), {
    service: 'ledger',
    kind: 'safe',
    priority: 2,
    workClass: 'safe/2/300',
    key: 17,
    instance: 'i-1',
    remainingMs: 1000,
    latencyTargetMs: -100,
    isCallerRetry: true,
    withheld: 3,
    isNestedCall: false,
  });
  const unkeyed = parseHop(formatHop({ ...request, key: undefined }, 1000));
  assert.is(unkeyed?.key, undefined);
  assert.is(parseHop(formatHop({ ...request, withheld: 0 }, 1000))?.withheld, 0);
  const call = parseHop(formatHop({ ...request, withheld: 0, isNestedCall: true }, 1000));
  assert.equal([call?.isNestedCall, call?.priority, call?.withheld], [true, 2, 0]);
});

// Guards against a faulty peer that has the instance report a lack of room for minutes.
test('the number of withheld requests is bounded', () => {
  for (const [withheld, decoded] of [[1e308, 1000], [-5, 0]] as const) {
    assert.is(parseHop(formatHop({ ...request, withheld }, 1000))?.withheld, decoded);
  }
  const text = formatHop({ ...request, withheld: 7 }, 1000);
  assert.is(parseHop(text.replace(/7\]$/u, '"x"]'))?.withheld, 0);
});

test('a malformed or missing header is rejected', () => {
  for (const text of [
    undefined, '', '{', '{}', '[]', '["ledger","other",2,"safe/2/300",1,1,1,"i-1"]',
    '["ledger","safe","2","safe/2/300",1,1,1,"i-1"]', '[1,"safe",2,"safe/2/300",1,1,1,"i-1"]',
  ]) assert.is(parseHop(text), undefined, text);
});

test.run();
