import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, createManualUpstream, localTarget, makeContract, peerTarget, startNodeWithUpstream,
  waitUntil,
} from './_test_node.ts';

const contract = makeContract([
  { path: '/lookup', class: 'lookup', retries: 1 },
  { path: '/hedged', class: 'lookup', hedge: true },
  { path: '/late', class: 'lookup', deadlineMs: 50 },
  { path: '/submit', class: 'submission' },
  { path: '/bulk', class: 'bulk' },
], { refusalStatuses: [503] });

const keyed = makeContract([
  { path: '/submit', class: 'submission', key: { from: 'header', name: 'x-key' } },
], { keyed: true });

test('a truncated upstream response resets the connection of the caller', async () => {
  const node = await startNodeWithUpstream((_, response) => {
    response.write('half', () => response.destroy());
  }, { contract });
  for (const target of [peerTarget(node.peerAddress), localTarget()]) {
    node.state.decide = () => target;
    const failure = await call(node.callerAddress, '/bulk').then(
      () => undefined,
      (error: NodeJS.ErrnoException) => error,
    );
    assert.is(failure?.code, 'ECONNRESET');
  }
  await node.stop();
});

test('a response with the identifier of another request is rejected', async () => {
  const node = await startNodeWithUpstream((_, response) => {
    response.writeHead(200, { 'x-request-id': 'other' });
    response.end('secret of another caller');
  }, { contract });
  const answer = await call(node.callerAddress, '/submit', { method: 'POST' });
  assert.is(answer.status, 502);
  assert.is(answer.problem.outcome, 'unknown');
  assert.is(answer.problem.peer, node.upstreamAddress);
  await node.stop();
});

// Guards against statuses that are passed on, and against texts of the client library.
test('a status that is not that of a response leaves a submission unknown', async () => {
  let status = '';
  const node = await startNodeWithUpstream((_, response) => {
    response.socket!.write(`HTTP/1.1 ${status} Text\r\ncontent-length: 5\r\n\r\nhello`);
  }, { contract });
  for (const target of [peerTarget(node.peerAddress), localTarget()]) {
    node.state.decide = () => target;
    for (status of ['000', '099', '600', '999']) {
      const answer = await call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
      assert.equal([answer.status, answer.problem.outcome], [502, 'unknown']);
      assert.match(answer.text, `the status ${status} is not that of a response`);
    }
  }
  await node.stop();
});

test('a response after the deadline does not reach the next caller', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract, connections: 1 });
  node.state.decide = () => localTarget();
  const late = await call(node.callerAddress, '/late');
  assert.is(late.status, 504);
  assert.is(late.problem.outcome, 'unknown');
  held[0]!.response.end('late');
  const next = call(node.callerAddress, '/lookup');
  await waitUntil(() => held.length === 2);
  held[1]!.response.end('own');
  assert.is((await next).text, 'own');
  await node.stop();
});

test('a submission whose upstream connection breaks is unknown and not retried', async () => {
  let received = 0;
  const node = await startNodeWithUpstream((request) => {
    received += 1;
    request.socket.destroy();
  }, { contract });
  const answer = await call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
  assert.is(answer.problem.outcome, 'unknown');
  assert.is(received, 1);
  await node.stop();
});

test('a failed or refused lookup is retried elsewhere within the retry budget', async () => {
  const instances: string[] = [];
  const node = await startNodeWithUpstream((request, response) => {
    if (instances.length === 1) request.socket.destroy();
    else if (instances.length === 3) response.writeHead(503).end();
    else response.end('ok');
  }, { contract });
  node.state.decide = ({ excluded }) => {
    const instance = excluded.has('i1') ? 'i2' : 'i1';
    instances.push(instance);
    return peerTarget(node.peerAddress, instance);
  };
  assert.is((await call(node.callerAddress, '/lookup')).text, 'ok');
  assert.is((await call(node.callerAddress, '/lookup')).text, 'ok');
  assert.equal(instances, ['i1', 'i2', 'i1', 'i2']);
  node.state.retryBudget = 0;
  instances.length = 0;
  assert.is((await call(node.callerAddress, '/lookup')).status, 502);
  assert.is(instances.length, 1);
  await node.stop();
});

test('a response with a refusal status of the contract is reported as not run', async () => {
  const node = await startNodeWithUpstream((_, response) => {
    response.writeHead(503, { 'retry-after': '4' }).end('busy');
  }, { contract });
  const answer = await call(node.callerAddress, '/submit', { method: 'POST', body: 'x' });
  assert.is(answer.status, 503);
  assert.is(answer.problem.outcome, 'not run');
  assert.is(answer.headers['retry-after'], '4');
  assert.equal(node.outcomes, ['overload']);
  await node.stop();
});

test('a request is cancelled at the upstream when its caller disconnects', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract });
  const abort = new AbortController();
  const gone = fetch(`http://${node.callerAddress}/lookup`, {
    headers: { authorization: 'Bearer caller-token' }, signal: abort.signal,
  }).catch(() => 'aborted');
  await waitUntil(() => held.length === 1);
  const closed = once(held[0]!.request.socket, 'close');
  abort.abort();
  await closed;
  await waitUntil(() => node.outcomes.length === 1);
  assert.equal(node.outcomes, ['cancelled']);
  assert.is(await gone, 'aborted');
  await node.stop();
});

test('a slow lookup is hedged and the slower attempt is cancelled', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract, hedgeDelayMs: 10 });
  node.state.decide = ({ excluded }) => (
    peerTarget(node.peerAddress, excluded.has('i1') ? 'i2' : 'i1')
  );
  const answer = call(node.callerAddress, '/hedged');
  await waitUntil(() => held.length === 2);
  const loser = once(held[0]!.request.socket, 'close');
  held[1]!.response.end('second');
  assert.is((await answer).text, 'second');
  await loser;
  await waitUntil(() => node.reports.length === 2);
  assert.equal(node.reports.map(({ outcome }) => outcome).sort(), ['cancelled', 'success']);
  await node.stop();
});

test('an expired lease cancels a keyed request at once, and its outcome is unknown', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract: keyed });
  const options = { method: 'POST', body: 'x', headers: { 'x-key': 'k' } };
  const answer = call(node.callerAddress, '/submit', options);
  await waitUntil(() => held.length === 1);
  assert.is(held[0]!.request.headers['x-fencing-token'], '7');
  const closed = once(held[0]!.request.socket, 'close');
  node.state.leaseExpiry.abort();
  await closed;
  const { status, problem } = await answer;
  // 504 would mean that the cancellation waited for the deadline.
  assert.is(status, 502);
  assert.is(problem.outcome, 'unknown');
  assert.is(node.state.heldPermits, 0);
  await node.stop();
});

test('a request is not sent if its key changes owner while a connection opens', async () => {
  const { held, listener } = createManualUpstream();
  const node = await startNodeWithUpstream(listener, { contract: keyed });
  let token = 0;
  Object.defineProperty(node.state, 'token', {
    get: () => {
      token += 1;
      return token;
    },
  });
  const options = { method: 'POST', body: 'x', headers: { 'x-key': 'k' } };
  const answer = await call(node.callerAddress, '/submit', options);
  assert.is(answer.problem.outcome, 'not run');
  assert.is(held.length, 0);
  assert.is(node.state.heldPermits, 0);
  await node.stop();
});

test('a request for a moving key waits for the new record and goes to the new owner', async () => {
  const node = await startNodeWithUpstream((_, response) => response.end('moved'), { contract });
  node.state.decide = () => ({ kind: 'wait', reason: 'moving', version: 1 });
  node.state.waitForChange = async () => {
    node.state.decide = () => peerTarget(node.peerAddress);
    return true;
  };
  assert.is((await call(node.callerAddress, '/submit', { method: 'POST' })).text, 'moved');
  await node.stop();
});

test('a request is not refused while the owner of its key completes a takeover', async () => {
  let received = 0;
  const node = await startNodeWithUpstream((_, response) => {
    received += 1;
    response.end('done');
  }, { contract: keyed });
  node.state.ownershipRefusal = { reason: 'pending', owner: undefined, version: 1 };
  let waits = 0;
  node.state.waitForChange = async () => {
    waits += 1;
    if (waits === 10) node.state.ownershipRefusal = undefined;
    return false;
  };
  const headers = { 'x-key': 'a' };
  const answer = await call(node.callerAddress, '/submit', { method: 'POST', headers });
  assert.is(answer.text, 'done');
  assert.equal([received, waits], [1, 10]);
  await node.stop();
});

test('an idempotency key does not run a second time after a change of owner', async () => {
  let received = 0;
  const node = await startNodeWithUpstream((_, response) => {
    received += 1;
    response.end('done');
  }, { contract: keyed });
  node.state.transferredAtMs = performance.now();
  const submit = (key: string) => call(node.callerAddress, '/submit', {
    method: 'POST', headers: { 'x-key': 'a', 'idempotency-key': key },
  });
  const uuidOf = (time: number) => {
    const digits = Math.floor(time).toString(16).padStart(12, '0');
    return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000001`;
  };
  for (const key of ['opaque', uuidOf(Date.now() - 60_000)]) {
    assert.is((await submit(key)).problem.outcome, 'unknown');
  }
  assert.is(received, 0);
  assert.is((await submit(uuidOf(Date.now() + 60_000))).text, 'done');
  node.state.transferredAtMs = undefined;
  assert.is((await submit('another opaque key')).text, 'done');
  assert.is(received, 2);
  await node.stop();
});

test.run();
