import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';
import { createTestSender } from './_test_requests.ts';

const test = suite('instances of a leaving node');

const WORK_MS = 50;
/** Shorter than the time in which a stopping node accepts all requests. */
const LEAVING_MS = 2300;
/** Time in which the other nodes learn of the stop. */
const PROPAGATION_MS = 200;
const INTERVAL_MS = 50;
const POLL_MS = 50;
const GRACE_MS = 6000;
const DEADLINE_MS = 1000;

const sendTo = createTestSender('leaving', DEADLINE_MS);
const send = (address: string) => sendTo(address, '/reads/leaving');

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

/** Stops the first host, and sends requests to a host within a span of the stop. */
const stopWhileSending = async (
  services: readonly string[],
  to: number,
  [fromMs, untilMs]: readonly [number, number],
) => {
  const fleet = await startFleet(services);
  const [leaving] = fleet.hosts;
  const startedAt = performance.now();
  const stopped = leaving!.node.stop();
  await sleep(fromMs);
  const runsBefore = leaving!.instance.executionCounts.size;
  const answers = await sendFor(fleet.hosts[to]!.settings.listen.caller, untilMs - fromMs);
  const runs = leaving!.instance.executionCounts.size - runsBefore;
  await stopped;
  const stopMs = performance.now() - startedAt;
  await leaving!.node.kill();
  await fleet.stop();
  return { answers, runs, stopMs };
};

const whileLeaving = [PROPAGATION_MS, LEAVING_MS] as const;
const whileClosing = [GRACE_MS / 2, (GRACE_MS * 3) / 4] as const;

const cases = {
  lastInstance: () => stopWhileSending(['orders', 'ledger'], 1, whileLeaving),
  ownCallers: () => stopWhileSending(['orders', 'ledger'], 0, whileLeaving),
  closing: () => stopWhileSending(['orders', 'ledger'], 1, whileClosing),
  otherInstance: () => stopWhileSending(['orders', 'orders', 'ledger'], 2, whileLeaving),
};

let outcomes: Readonly<Record<keyof typeof cases, Awaited<ReturnType<typeof stopWhileSending>>>>;

test.before(async () => {
  const [lastInstance, ownCallers, closing, otherInstance] = await Promise.all([
    cases.lastInstance(), cases.ownCallers(), cases.closing(), cases.otherInstance(),
  ]);
  outcomes = {
    lastInstance, ownCallers, closing, otherInstance,
  };
});

const notAnswered = ({ answers }: Awaited<ReturnType<typeof stopWhileSending>>) => (
  answers.filter(({ status }) => status !== 200)
);

// Guards against a stop of the last instances' nodes that leaves a service without an instance
// seconds before these nodes stop accepting requests.
test('the last instance of a service is used until its node accepts no more requests', () => {
  assert.equal(notAnswered(outcomes.lastInstance), []);
});

test('callers of a leaving node reach its instance if it is the last one', () => {
  assert.equal(notAnswered(outcomes.ownCallers), []);
});

// Guards against requests that are sent to a node that refuses them, or wait for it until their
// deadline.
test('requests for the last instance are refused as not run once its node closes', () => {
  for (const { status, text } of outcomes.closing.answers) {
    assert.is(status, 503, text);
    assert.match(text, /not run/u);
  }
  assert.is(outcomes.closing.runs, 0);
  assert.ok(outcomes.closing.stopMs < GRACE_MS);
});

// Guards against a stop that is prolonged by requests which other instances can take.
test('an instance of a leaving node is not used while another one is ready', () => {
  assert.equal(notAnswered(outcomes.otherInstance), []);
  assert.is(outcomes.otherInstance.runs, 0);
});

test.run();
