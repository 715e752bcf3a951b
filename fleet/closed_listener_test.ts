import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('closed listener');

const TIMEOUT_MS = 3000;
const WORK_MS = 2000;
/** Time in which the node finds the closed listener and the other owner announces itself. */
const TAKEOVER_MS = 1000;
const SETTLE_MS = 400;

const waitUntil = async (isDone: () => boolean, limitMs = 6000) => {
  const endsAt = performance.now() + limitMs;
  while (!isDone()) {
    if (performance.now() > endsAt) throw new Error(`not done within ${limitMs} ms`);
    await sleep(20);
  }
};

/** Starts two owners; one of them leaves while it runs a request, and closes its listener. */
const closeWhileRunning = async (leavesCaller: boolean) => {
  const fleet = await startLoopbackFleet(['ledger', 'ledger'], {
    workMs: WORK_MS, timeoutMs: TIMEOUT_MS,
  });
  const [leaving, staying] = fleet.hosts.map(({ instance }) => instance);
  await waitUntil(() => leaving!.heldRanges().length > 0 && staying!.heldRanges().length > 0);
  await sleep(SETTLE_MS);
  const [[key] = [0]] = leaving!.heldRanges();
  const isTaken = () => staying!.heldRanges().some(([from, to]) => key >= from && key <= to);
  assert.not.ok(isTaken());
  await leaving!.leave();
  const caller = new AbortController();
  const answer = request(`http://${fleet.hosts[1]!.settings.listen.caller}/keyed/a`, {
    headers: {
      host: 'shop.example',
      'request-id': `closed-${leavesCaller}`,
      'deadline-ms': String(TIMEOUT_MS),
      'shard-key': String(key),
    },
    signal: caller.signal,
  }).then(({ statusCode, body }) => body.dump().then(() => statusCode), () => undefined);
  await waitUntil(() => leaving!.running() === 1);
  leaving!.closeListener();
  if (leavesCaller) caller.abort();
  const closedAt = performance.now();
  while (leaving!.running() > 0) {
    assert.not.ok(isTaken(), `${Math.round(performance.now() - closedAt)} ms after the close`);
    await sleep(10);
  }
  assert.is(await answer, leavesCaller ? undefined : 200);
  return { fleet, isTaken, endedAt: performance.now() };
};

// Keys were given to another instance as soon as theirs, which left, had closed its listener,
// although it was still at work on a request for them.
test('keys stay with an instance that finishes a request, and move once it has', async () => {
  const { fleet, isTaken, endedAt } = await closeWhileRunning(false);
  await waitUntil(isTaken);
  assert.ok(performance.now() - endedAt < TAKEOVER_MS);
  await fleet.stop();
});

// The connection of the request was closed by its own node, which the instance did not notice.
test('keys stay with an instance that goes on with a request whose caller has left', async () => {
  const { fleet, isTaken } = await closeWhileRunning(true);
  await waitUntil(isTaken);
  await fleet.stop();
});

// Guards against a takeover that waits for the deadlines of requests that ended with the process.
test('the keys of an instance that crashes at work move at once', async () => {
  const fleet = await startLoopbackFleet(['ledger', 'ledger'], {
    workMs: WORK_MS, timeoutMs: TIMEOUT_MS,
  });
  const [crashing, staying] = fleet.hosts.map(({ instance }) => instance);
  await waitUntil(() => crashing!.heldRanges().length > 0 && staying!.heldRanges().length > 0);
  await sleep(SETTLE_MS);
  const [[key] = [0]] = crashing!.heldRanges();
  const send = (id: string, signal?: AbortSignal) => request(
    `http://${fleet.hosts[1]!.settings.listen.caller}/keyed/a`,
    {
      headers: {
        host: 'shop.example',
        'request-id': id,
        'deadline-ms': String(TIMEOUT_MS),
        'shard-key': String(key),
      },
      signal,
    },
  ).then(({ body }) => body.dump()).catch(() => undefined);
  const caller = new AbortController();
  const sent = [send('left', caller.signal), send('kept')];
  await waitUntil(() => crashing!.running() === 2);
  caller.abort();
  await sleep(SETTLE_MS);
  crashing!.kill();
  const killedAt = performance.now();
  await waitUntil(() => staying!.heldRanges().some(([from, to]) => key >= from && key <= to));
  assert.ok(performance.now() - killedAt < TAKEOVER_MS);
  await Promise.all(sent);
  await fleet.stop();
});

test.run();
