import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Agent, request } from 'undici';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('instances of a leaving node');

const WORK_MS = 50;
/** Shorter than the time in which a stopping node accepts all requests. */
const LEAVING_MS = 2300;
/** Time in which the other nodes learn of the stop. */
const PROPAGATION_MS = 200;
const INTERVAL_MS = 50;
const POLL_MS = 50;
const GRACE_MS = 6000;

let nextId = 0;

const send = async (address: string) => {
  nextId += 1;
  try {
    const { statusCode, body } = await request(`http://${address}/reads/leaving`, {
      dispatcher: new Agent({ connections: 1, pipelining: 1 }),
      headers: {
        host: 'shop.example', 'request-id': `leaving-${nextId}`, 'deadline-ms': '1000',
      },
    });
    const text = await body.text();
    return { status: statusCode, text };
  } catch (error) {
    return { status: 0, text: String(error) };
  }
};

const startFleet = async (services: readonly string[]) => {
  const fleet = await startLoopbackFleet(services, { workMs: WORK_MS });
  for (const { settings } of fleet.hosts) {
    while ((await send(settings.listen.caller)).status !== 200) await sleep(POLL_MS);
  }
  return fleet;
};

const sendFor = async (address: string, durationMs: number) => {
  const endsAt = performance.now() + durationMs;
  const answers: ReturnType<typeof send>[] = [];
  while (performance.now() < endsAt) {
    answers.push(send(address));
    await sleep(INTERVAL_MS);
  }
  return Promise.all(answers);
};

// Guards against a stop of the last instances' nodes that leaves a service without an instance
// seconds before these nodes stop accepting requests.
test('the last instance of a service is used until its node accepts no more requests', async () => {
  const fleet = await startFleet(['orders', 'ledger']);
  const [leaving, other] = fleet.hosts;
  const stopped = leaving!.node.stop();
  await sleep(PROPAGATION_MS);
  const answers = await sendFor(other!.settings.listen.caller, LEAVING_MS - PROPAGATION_MS);
  assert.equal(answers.filter(({ status }) => status !== 200), []);
  await stopped;
  await leaving!.node.kill();
  await fleet.stop();
});

test('callers of a leaving node reach its instance if it is the last one', async () => {
  const fleet = await startFleet(['orders', 'ledger']);
  const [leaving] = fleet.hosts;
  const stopped = leaving!.node.stop();
  await sleep(PROPAGATION_MS);
  const answers = await sendFor(leaving!.settings.listen.caller, LEAVING_MS - PROPAGATION_MS);
  assert.equal(answers.filter(({ status }) => status !== 200), []);
  await stopped;
  await leaving!.node.kill();
  await fleet.stop();
});

// Guards against requests that are sent to a node that refuses them, or wait for it until their
// deadline.
test('requests for the last instance are refused as not run once its node closes', async () => {
  const fleet = await startFleet(['orders', 'ledger']);
  const [leaving, other] = fleet.hosts;
  const startedAt = performance.now();
  const stopped = leaving!.node.stop();
  await sleep(GRACE_MS / 2);
  const answers = await sendFor(other!.settings.listen.caller, GRACE_MS / 4);
  for (const { status, text } of answers) {
    assert.is(status, 503, text);
    assert.match(text, /not run/u);
  }
  await stopped;
  assert.ok(performance.now() - startedAt < GRACE_MS);
  await leaving!.node.kill();
  await fleet.stop();
});

// Guards against a stop that is prolonged by requests which other instances can take.
test('an instance of a leaving node is not used while another one is ready', async () => {
  const fleet = await startFleet(['orders', 'orders', 'ledger']);
  const [leaving, , other] = fleet.hosts;
  const stopped = leaving!.node.stop();
  await sleep(PROPAGATION_MS);
  const before = leaving!.instance.executionCounts.size;
  const answers = await sendFor(other!.settings.listen.caller, LEAVING_MS - PROPAGATION_MS);
  assert.equal(answers.filter(({ status }) => status !== 200), []);
  assert.is(leaving!.instance.executionCounts.size, before);
  await stopped;
  await leaving!.node.kill();
  await fleet.stop();
});

test.run();
