import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { sendUntilAccepted } from '../testing/send_until_accepted.ts';
import { type LoopbackFleet, startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('fleet node');

let fleet: LoopbackFleet;
/** Whether the last set-up succeeded; uvu runs the clean-up even if it failed. */
let isStarted = false;
let nextId = 0;

interface SentRequest {
  readonly path: string;
  readonly key?: number;
  readonly method?: 'GET' | 'POST';
  readonly host?: number;
}

const send = async ({
  path, key, method = 'GET', host = 0,
}: SentRequest) => {
  nextId += 1;
  const id = `request-${nextId}`;
  const response = await request(`http://${fleet.hosts[host]!.settings.listen.caller}${path}`, {
    method,
    headers: {
      host: 'shop.example',
      'request-id': id,
      'deadline-ms': '900',
      'caller-service': 'forged',
      ...(key === undefined ? {} : { 'shard-key': String(key) }),
    },
    ...(method === 'POST' ? { body: 'order' } : {}),
  });
  return {
    id, status: response.statusCode, headers: response.headers, text: await response.body.text(),
  };
};

const waitUntil = async (isDone: () => Promise<boolean> | boolean, limitMs = 8000) => {
  const endsAt = Date.now() + limitMs;
  while (!await isDone()) {
    if (Date.now() > endsAt) throw new Error(`not done within ${limitMs} ms`);
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
};

const runsOf = (id: string) => fleet.hosts
  .reduce((sum, { instance }) => sum + (instance.executionCounts.get(id) ?? 0), 0);

const requireNotRun = ({ id }: { readonly id: string }) => (
  assert.is(runsOf(id), 0, 'a refused request has run')
);

const isServed = async (wanted: SentRequest) => (await send(wanted)).status === 200;

test.before(async () => {
  fleet = await startLoopbackFleet(['ledger', 'ledger', 'orders', 'orders']);
  isStarted = true;
  await waitUntil(() => isServed({ path: '/keyed/a', key: 1 }));
  await waitUntil(() => isServed({ path: '/keyed/a', key: 65_535 }));
  await waitUntil(() => isServed({ path: '/orders/a' }));
});

test.after(async () => {
  if (isStarted) await fleet.stop();
});

test('requests for a key reach its single owner from every host', async () => {
  for (const key of [0, 20_000, 40_000, 65_535]) {
    const answers = await Promise.all([0, 1, 2, 3].map((host) => (
      sendUntilAccepted(() => send({ path: '/keyed/x', key, host }), requireNotRun)
    )));
    const owners = new Set(answers.map(({ text }) => text.split(' ran at ')[1]));
    assert.is(owners.size, 1);
    for (const { id, text, status } of answers) {
      assert.is(status, 200, text);
      assert.match(text, id);
    }
  }
});

test('an unknown route is answered with 404 and a known one is served', async () => {
  assert.is((await send({ path: '/unknown/' })).status, 404);
  assert.is((await send({ path: '/reads/1' })).status, 200);
});

test('a contract version takes effect soon after it is published', async () => {
  assert.is((await send({ path: '/added/1' })).status, 404);
  await fleet.publish(5, '/added/');
  await waitUntil(() => isServed({ path: '/added/1', host: 3 }), 1500);
});

test('an unsafe request without a valid response is not retried nor called `not run`', async () => {
  for (const { instance } of fleet.hosts) instance.setFault('foreign');
  const { id, status } = await send({ path: '/orders/1', method: 'POST' });
  for (const { instance } of fleet.hosts) instance.setFault('none');
  assert.is(runsOf(id), 1);
  assert.is(status, 502);
});

test('an unsafe request that one instance sheds runs at most once, on another one', async () => {
  const [, , shedding, healthy] = fleet.hosts;
  shedding!.instance.setFault('shed');
  const answers = [];
  for (let index = 0; index < 8; index += 1) {
    answers.push(await send({ path: '/orders/2', method: 'POST', host: 2 }));
  }
  shedding!.instance.setFault('none');
  for (const { id, status } of answers) {
    if (status === 503) assert.is(runsOf(id), 0);
    else assert.is(runsOf(id), 1);
  }
  assert.ok(healthy!.instance.executionCounts.size > 0);
});

// A response that ends with its connection looks complete when a node on its way is killed.
test('a response without a length is forwarded in chunks over all hops', async () => {
  for (const { instance } of fleet.hosts) instance.setFault('unframed');
  const answers = await Promise.all([0, 1, 2, 3].map((host) => send({ path: '/reads/5', host })));
  for (const { instance } of fleet.hosts) instance.setFault('none');
  for (const { id, headers, text } of answers) {
    assert.match(text, id);
    assert.is(headers['content-length'], undefined);
    assert.is(headers['transfer-encoding'], 'chunked');
  }
});

test('a safe request that fails at one instance is retried at another one', async () => {
  const [, , failing] = fleet.hosts;
  failing!.instance.setFault('error');
  const statuses = [];
  for (let index = 0; index < 6; index += 1) {
    statuses.push((await send({ path: '/reads/3', host: 2 })).status);
  }
  failing!.instance.setFault('none');
  assert.ok(statuses.filter((status) => status === 200).length >= 5, statuses.join());
});

test('the keys of a killed instance are served by the other one', async () => {
  fleet.hosts[1]!.instance.kill();
  await waitUntil(() => isServed({ path: '/keyed/a', key: 1 }), 4000);
  await waitUntil(() => isServed({ path: '/keyed/a', key: 65_535 }), 4000);
  await waitUntil(() => isServed({ path: '/keyed/a', key: 40_000 }), 4000);
});

test('a stopping node is not ready, still serves, and stops within the grace time', async () => {
  const { node, settings } = fleet.hosts[3]!;
  const startedAt = Date.now();
  const stopped = node.stop();
  const { statusCode, body } = await request(`http://${settings.listen.readiness}/readiness`);
  await body.text();
  assert.is(statusCode, 503);
  assert.is((await send({ path: '/reads/4', host: 3 })).status, 200);
  await stopped;
  assert.ok(Date.now() - startedAt < settings.bounds.graceMs);
});

test('a request with a hop header of another version is refused as not run', async () => {
  const response = await request(`http://${fleet.hosts[2]!.settings.listen.peer}/orders/a`, {
    headers: { 'request-id': 'other-version', 'mh-hop': '{"v":2}' },
  });
  await response.body.dump();
  assert.is(response.statusCode, 503);
  assert.is(response.headers['mh-outcome'], 'not run');
  assert.is(runsOf('other-version'), 0);
});

test.run();
