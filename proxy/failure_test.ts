import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  call, createHeldUpstream, localTarget, makeContract, peerTarget, startPath, until,
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

test('a truncated upstream answer resets the connection of its caller', async () => {
  const path = await startPath((_, response) => {
    response.write('half', () => response.destroy());
  }, { contract });
  for (const target of [peerTarget(path.peerAddress), localTarget()]) {
    path.state.decide = () => target;
    const failure = await call(path.callerAddress, '/bulk').then(
      () => undefined,
      (error: NodeJS.ErrnoException) => error,
    );
    assert.is(failure?.code, 'ECONNRESET');
  }
  await path.stop();
});

test('an answer that carries another request identifier is dropped', async () => {
  const path = await startPath((_, response) => {
    response.writeHead(200, { 'x-request-id': 'other' });
    response.end('secret of another caller');
  }, { contract });
  const answer = await call(path.callerAddress, '/submit', { method: 'POST' });
  assert.is(answer.status, 502);
  assert.is(answer.problem.outcome, 'unknown');
  assert.is(answer.problem.peer, path.upstreamAddress);
  await path.stop();
});

test('an answer after the deadline does not reach the next caller', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract, connections: 1 });
  path.state.decide = () => localTarget();
  const late = await call(path.callerAddress, '/late');
  assert.is(late.status, 504);
  assert.is(late.problem.outcome, 'unknown');
  held[0]!.response.end('late');
  const next = call(path.callerAddress, '/lookup');
  await until(() => held.length === 2);
  held[1]!.response.end('own');
  assert.is((await next).text, 'own');
  await path.stop();
});

test('a submission whose upstream connection breaks is unknown and is not sent again', async () => {
  let received = 0;
  const path = await startPath((request) => {
    received += 1;
    request.socket.destroy();
  }, { contract });
  const answer = await call(path.callerAddress, '/submit', { method: 'POST', body: 'x' });
  assert.is(answer.problem.outcome, 'unknown');
  assert.is(received, 1);
  await path.stop();
});

test('a lookup is retried on another instance, a refused one too', async () => {
  const instances: string[] = [];
  const path = await startPath((request, response) => {
    if (instances.length === 1) request.socket.destroy();
    else if (instances.length === 3) response.writeHead(503).end();
    else response.end('ok');
  }, { contract });
  path.state.decide = ({ excluded }) => {
    const instance = excluded.has('i1') ? 'i2' : 'i1';
    instances.push(instance);
    return peerTarget(path.peerAddress, instance);
  };
  assert.is((await call(path.callerAddress, '/lookup')).text, 'ok');
  assert.is((await call(path.callerAddress, '/lookup')).text, 'ok');
  assert.equal(instances, ['i1', 'i2', 'i1', 'i2']);
  path.state.budget = 0;
  instances.length = 0;
  assert.is((await call(path.callerAddress, '/lookup')).status, 502);
  assert.is(instances.length, 1);
  await path.stop();
});

test('a status that the contract lists as a refusal is answered not run', async () => {
  const path = await startPath((_, response) => {
    response.writeHead(503, { 'retry-after': '4' }).end('busy');
  }, { contract });
  const answer = await call(path.callerAddress, '/submit', { method: 'POST', body: 'x' });
  assert.is(answer.status, 503);
  assert.is(answer.problem.outcome, 'not run');
  assert.is(answer.headers['retry-after'], '4');
  assert.equal(path.released, ['overload']);
  await path.stop();
});

test('a caller that goes away cancels the request at the upstream', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract });
  const abort = new AbortController();
  const gone = fetch(`http://${path.callerAddress}/lookup`, {
    headers: { authorization: 'Bearer caller-token' }, signal: abort.signal,
  }).catch(() => 'aborted');
  await until(() => held.length === 1);
  const closed = once(held[0]!.request.socket, 'close');
  abort.abort();
  await closed;
  await until(() => path.released.length === 1);
  assert.equal(path.released, ['cancelled']);
  assert.is(await gone, 'aborted');
  await path.stop();
});

test('a slow lookup is hedged and the loser is cancelled', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract, hedgeDelayMs: 10 });
  path.state.decide = ({ excluded }) => (
    peerTarget(path.peerAddress, excluded.has('i1') ? 'i2' : 'i1')
  );
  const answer = call(path.callerAddress, '/hedged');
  await until(() => held.length === 2);
  const loser = once(held[0]!.request.socket, 'close');
  held[1]!.response.end('second');
  assert.is((await answer).text, 'second');
  await loser;
  await until(() => path.reports.length === 2);
  assert.equal(path.reports.map(({ outcome }) => outcome).sort(), ['cancelled', 'success']);
  await path.stop();
});

test('a lapsed lease cancels the keyed request at once and answers unknown', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract: keyed });
  const options = { method: 'POST', body: 'x', headers: { 'x-key': 'k' } };
  const answer = call(path.callerAddress, '/submit', options);
  await until(() => held.length === 1);
  assert.is(held[0]!.request.headers['x-fencing-token'], '7');
  const closed = once(held[0]!.request.socket, 'close');
  path.state.lapse.abort();
  await closed;
  const { status, problem } = await answer;
  // Not 504: the cancellation did not wait for the deadline.
  assert.is(status, 502);
  assert.is(problem.outcome, 'unknown');
  assert.is(path.state.tickets, 0);
  await path.stop();
});

test('a key that changes owner while a connection opens is not sent', async () => {
  const { held, listener } = createHeldUpstream();
  const path = await startPath(listener, { contract: keyed });
  let token = 0;
  Object.defineProperty(path.state, 'token', {
    get: () => {
      token += 1;
      return token;
    },
  });
  const options = { method: 'POST', body: 'x', headers: { 'x-key': 'k' } };
  const answer = await call(path.callerAddress, '/submit', options);
  assert.is(answer.problem.outcome, 'not run');
  assert.is(held.length, 0);
  assert.is(path.state.tickets, 0);
  await path.stop();
});

test('a request waits for the record of a moved key and then follows it', async () => {
  const path = await startPath((_, response) => response.end('moved'), { contract });
  path.state.decide = () => ({ kind: 'wait', reason: 'moving', version: 1 });
  path.state.onChange = async () => {
    path.state.decide = () => peerTarget(path.peerAddress);
    return true;
  };
  assert.is((await call(path.callerAddress, '/submit', { method: 'POST' })).text, 'moved');
  await path.stop();
});

test('guards against a refusal while the owner is about to finish a takeover', async () => {
  let received = 0;
  const path = await startPath((_, response) => {
    received += 1;
    response.end('done');
  }, { contract: keyed });
  path.state.notOwned = { reason: 'pending', owner: undefined, version: 1 };
  let waits = 0;
  path.state.onChange = async () => {
    waits += 1;
    if (waits === 10) path.state.notOwned = undefined;
    return false;
  };
  const headers = { 'x-key': 'a' };
  const answer = await call(path.callerAddress, '/submit', { method: 'POST', headers });
  assert.is(answer.text, 'done');
  assert.equal([received, waits], [1, 10]);
  await path.stop();
});

test('guards against a second run of an idempotency key after a change of owner', async () => {
  let received = 0;
  const path = await startPath((_, response) => {
    received += 1;
    response.end('done');
  }, { contract: keyed });
  path.state.inheritedAt = performance.now();
  const submit = (key: string) => call(path.callerAddress, '/submit', {
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
  path.state.inheritedAt = undefined;
  assert.is((await submit('another opaque key')).text, 'done');
  assert.is(received, 2);
  await path.stop();
});

test.run();
