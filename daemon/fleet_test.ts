import { Agent } from 'undici';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type FleetHost, fleetCredentials } from '../standins/mod.ts';
import {
  type TestResponse, applyContract, callerTokens, clock, contractOf, runCommand, planHost, send,
  startTestFleet, waitUntil, versionsOf,
} from './_test_fleet.ts';

const test = suite('fleet');
let fleet: Awaited<ReturnType<typeof startTestFleet>>;
const warnings: Error[] = [];
const onWarning = (warning: Error) => warnings.push(warning);

test.before(async () => {
  process.on('warning', onWarning);
  fleet = await startTestFleet([
    planHost(1, 'ledger'), planHost(2, 'ledger'), planHost(3, 'ledger'),
    planHost(4, 'archive'), planHost(5, 'archive'),
  ], { logLevel: 'debug' });
});
test.after(async () => {
  process.off('warning', onWarning);
  await fleet.stop();
});

const hostOf = (node: string): FleetHost => {
  const host = fleet.hosts.find(({ plan }) => plan.node === node);
  if (host === undefined) throw new Error(`no host ${node}`);
  return host;
};

const assertProblem = (answer: TestResponse, status: number, outcome: 'not run' | 'unknown') => {
  assert.is(answer.status, status, answer.text);
  assert.is(answer.headers['content-type'], 'application/problem+json');
  assert.is(answer.json.outcome, outcome);
  assert.ok(answer.json.step);
  assert.type(answer.json.peer, 'string');
  assert.is(answer.json.request, answer.headers['x-request-id']);
};

/** Returns the host of the instance that owns a key. */
const ownerOf = async (key: string): Promise<FleetHost> => {
  const { json } = await send(hostOf('n4'), `/entries/${key}`);
  return hostOf(`n${json.instance!.split('-')[1]}`);
};

test('a node that is not the owner forwards requests of each class', async () => {
  const ledgerHost = hostOf('n1');
  const archiveHost = hostOf('n4');
  const check = await send(ledgerHost, '/state/s1');
  assert.match(check.json.instance!, /^archive-/);
  const lookup = await send(archiveHost, '/entries/k1');
  assert.match(lookup.json.instance!, /^ledger-/);
  const submission = await send(archiveHost, '/entries/k1', { method: 'POST', body: 'b' });
  assert.is(submission.json.instance, lookup.json.instance);
  assert.is(submission.json.requestId, submission.headers['x-request-id']);
  const bulk = await send(ledgerHost, '/maps/m1', { headers: { 'x-body-bytes': '3000000' } });
  assert.is(bulk.text.length, 3_000_000);
  assert.equal([check, lookup, submission, bulk].map(({ status }) => status), [200, 200, 200, 200]);
});

test('each refusal is a problem response with outcome, step, peer and request', async () => {
  const host = hostOf('n4');
  assertProblem(await send(host, '/state/s', { token: 'wrong' }), 401, 'not run');
  assertProblem(await send(host, '/nowhere'), 404, 'not run');
  const large = { method: 'POST', body: 'x'.repeat(101) } as const;
  assertProblem(await send(host, '/entries/k1', large), 413, 'not run');
  assertProblem(await send(host, '/absent'), 503, 'not run');
  let limited = await send(host, '/state/s', { token: callerTokens.narrow });
  for (let count = 0; count < 20 && limited.status === 200; count += 1) {
    limited = await send(host, '/state/s', { token: callerTokens.narrow });
  }
  assertProblem(limited, 429, 'not run');
  assert.ok(Number(limited.headers['retry-after']) >= 1);
});

test('contract status shows the active revision on each node', async () => {
  const status = await runCommand(hostOf('n5'), ['contract', 'status', 'mesh', '--json']);
  const rows = JSON.parse(status.out) as readonly { node: string; revision: number }[];
  assert.equal(rows.map(({ node }) => node), ['n1', 'n2', 'n3', 'n4', 'n5']);
  assert.is(new Set(rows.map(({ revision }) => revision)).size, 1);
  assert.ok(rows[0]!.revision > 0);
});

test('an upstream that announces draining gets no new requests after 2 s', async () => {
  const leaving = hostOf('n5');
  await waitUntil('the upstream has received requests', async () => {
    await Promise.all(fleet.hosts.map((host) => send(host, '/state/s')));
    return leaving.upstream.executions().length > 0;
  });
  await leaving.announcer.drain();
  await clock.sleep(2000);
  const before = leaving.upstream.executions().length;
  for (let round = 0; round < 10; round += 1) {
    const answers = await Promise.all(fleet.hosts.map((host) => send(host, '/state/s')));
    assert.ok(answers.every(({ status }) => status === 200));
  }
  assert.is(leaving.upstream.executions().length, before);
});

test('an upstream that drained and becomes ready again owns slots again', async () => {
  const { announcer, node } = hostOf('n2');
  const ownsSlots = () => node.status().ownership.some(({ slots }) => slots > 0);
  await announcer.drain();
  await waitUntil('the owner has left', async () => node.status().ownership.length === 0);
  await announcer.resume();
  await waitUntil('it owns slots again', async () => ownsSlots());
});

test('while the store is down requests are served and a new node learns from peers', async () => {
  const { revision } = JSON.parse(
    (await runCommand(hostOf('n1'), ['contract', 'get', 'mesh', '--json'])).out,
  ) as { readonly revision: number };
  fleet.store.store.setDown(true);
  const refused = await applyContract(hostOf('n1'), contractOf('mesh', 2), revision);
  assert.is(refused.status, 1);
  assert.match(refused.error, /store/);
  const joined = await fleet.addHost(planHost(6, 'archive'));
  await waitUntil('the new node has all versions', () => (
    versionsOf(joined) === versionsOf(hostOf('n1'))
  ));
  for (const host of fleet.hosts) {
    const answer = await send(host, '/entries/k1', { method: 'POST', body: 'b' });
    assert.is(answer.status, 200, answer.text);
  }
  fleet.store.store.setDown(false);
  await waitUntil('the contract is applied', async () => (
    (await applyContract(hostOf('n1'), contractOf('mesh', 2), revision)).status === 0
  ));
  const contractIn = (host: FleetHost) => /contracts\/mesh@\d+/u.exec(versionsOf(host))?.[0];
  await waitUntil('the contract is active on all nodes', () => (
    new Set(fleet.hosts.map(contractIn)).size === 1
  ));
});

test('a graceful shutdown of an owner under load fails no request', async () => {
  const owner = await ownerOf('k1');
  const agent = new Agent({ connections: 8 });
  const statuses = new Map<string, number>();
  let sent = 0;
  let stopped = false;
  let stoppingAt = Infinity;
  const describeError = (
    host: FleetHost,
    sentAt: number,
    { code, message }: NodeJS.ErrnoException,
  ) => JSON.stringify({
    error: code ?? message,
    node: host.plan.node,
    isOwner: host === owner,
    sentMs: sentAt - stoppingAt,
    failedMs: clock.now() - stoppingAt,
  });
  const sendLoad = async (host: FleetHost, isStopping: boolean) => {
    while (!stopped) {
      sent += 1;
      const path = `/entries/k${sent % 40}`;
      const method = sent % 2 === 0 ? 'GET' : 'POST';
      const headers = { 'x-work-ms': '20' };
      const sentAt = clock.now();
      const result = await send(host, path, { method, headers, dispatcher: agent }).then(
        ({ status, text }) => (status === 200 ? '200' : text),
        (error: NodeJS.ErrnoException) => (
          // Only the node that was shut down may refuse new connections.
          isStopping && error.code === 'ECONNREFUSED'
            ? 'refused'
            : describeError(host, sentAt, error)
        ),
      );
      if (result === 'refused') return;
      statuses.set(result, (statuses.get(result) ?? 0) + 1);
    }
  };
  const loads = fleet.hosts.flatMap((host) => [
    sendLoad(host, host === owner), sendLoad(host, host === owner), sendLoad(host, host === owner),
  ]);
  await clock.sleep(200);
  stoppingAt = clock.now();
  await owner.stop();
  await clock.sleep(200);
  stopped = true;
  await Promise.all(loads);
  await agent.destroy();
  assert.equal([...statuses.keys()], ['200']);
  assert.ok(statuses.get('200')! > 100);
  const interrupted = owner.upstream.executions().filter(({ result }) => result !== 'finished');
  assert.equal(interrupted, []);
});

test('a submission whose owner is killed gets `unknown` and runs at most once', async () => {
  const owner = await ownerOf('k2');
  const upstreams = fleet.hosts.map(({ upstream }) => upstream);
  const runs = () => upstreams.flatMap((upstream) => upstream.executions())
    .filter(({ path }) => path === '/entries/k2?once');
  const answered = send(hostOf('n4'), '/entries/k2?once', {
    method: 'POST', body: 'b', headers: { 'x-work-ms': '3000' },
  });
  await waitUntil('the submission runs', () => runs().length === 1);
  await owner.kill();
  const answer = await answered;
  assertProblem(answer, answer.status, 'unknown');
  assert.ok(answer.status >= 500);
  await waitUntil('the key is served again', async () => (
    (await send(hostOf('n4'), '/entries/k2')).status === 200
  ));
  assert.is(runs().length, 1);
});

test('no credential and no caller token appears in a log line', () => {
  const secrets = [...Object.values(fleetCredentials), ...Object.values(callerTokens)];
  assert.ok(fleet.logLines.length > 100);
  const found = fleet.logLines.filter((line) => secrets.some((secret) => line.includes(secret)));
  assert.equal(found, []);
});

test('the nodes leak no event listeners and emit no process warning', () => {
  assert.equal(warnings.map(({ message }) => message), []);
});

test.run();
