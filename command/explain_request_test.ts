import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { explainRequest } from './explain_request.ts';

const test = suite('explain');

const createLogLine = (fields: Readonly<Record<string, unknown>>) => JSON.stringify({
  name: 'marjoramhollow', node: 'host-1', pid: 1, level: 30, v: 0, ...fields,
});

const refusedAtPeer = createLogLine({
  hostname: 'host-2',
  time: '2026-01-01T00:00:00.010Z',
  request: 'r1',
  reason: 'admission.acquire (i-2): the wait would be too long',
  msg: 'peer: refused a peer',
});
const refusedAtCaller = `  0.1 host-1 ${createLogLine({
  hostname: 'host-1',
  time: '2026-01-01T00:00:00.012Z',
  request: 'r1',
  revision: 3,
  outcome: 'refused',
  reason: 'admission.acquire (i-2): the wait would be too long',
  msg: 'caller: did not answer',
})}`;
const subrequest = createLogLine({
  time: '2026-01-01T00:00:00.011Z', request: 'r1.7', msg: 'caller: answered',
});
const otherRequest = createLogLine({
  time: '2026-01-01T00:00:00.000Z', request: 'r10', msg: 'caller: answered',
});

test('lines of a request and its subrequests are merged over nodes by time, without others', () => {
  const { lines } = explainRequest(
    [refusedAtCaller, otherRequest, subrequest, refusedAtPeer, 'r1 {'],
    'r1',
  );
  assert.equal(lines.map(({ request }) => request), ['r1', 'r1.7', 'r1']);
  assert.is(lines[0]?.host, 'host-2');
});

test('the cause is taken from the line about the response to the caller', () => {
  const { cause } = explainRequest([refusedAtCaller, refusedAtPeer], 'r1');
  assert.is(cause, 'refused: admission.acquire (i-2): the wait would be too long');
  assert.is(explainRequest([otherRequest], 'r1').cause, 'no log line found for this request');
});

test.run();
