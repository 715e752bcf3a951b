import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';
import { createTestSender, findWrongAnswers } from './_test_requests.ts';

const test = suite('requests around the close of the nodes of the last instances');

const WORK_MS = 60;
const INTERVAL_MS = 8;
const POLL_MS = 50;
/** Longer than the grace time, so that requests are sent after the exits, too. */
const DURATION_MS = 7000;
const STAGGER_MS = 400;
const DEADLINE_MS = 1000;

const send = createTestSender('close', DEADLINE_MS);

/** Stops the nodes of all instances of a service while requests are sent to another node. */
const stopInstances = async (services: readonly string[]) => {
  const count = services.length - 1;
  const fleet = await startLoopbackFleet(services, { workMs: WORK_MS });
  for (const { settings } of fleet.hosts) {
    for (;;) {
      const { status } = await send(settings.listen.caller, '/reads/x');
      if (status === 200) break;
      await sleep(POLL_MS);
    }
  }
  const startedAt = performance.now();
  const leaving = fleet.hosts.slice(0, count);
  const stopped = leaving.map(async ({ node }, index) => {
    await sleep(index * STAGGER_MS);
    await node.stop();
    await node.kill();
  });
  const other = fleet.hosts[count]!.settings.listen.caller;
  const answers: ReturnType<typeof send>[] = [];
  while (performance.now() - startedAt < DURATION_MS) {
    const index = answers.length;
    answers.push(send(other, index % 2 === 0 ? '/orders/x' : '/reads/x', index % 3 === 0));
    await sleep(INTERVAL_MS);
  }
  const results = await Promise.all(answers);
  await Promise.all(stopped);
  const runsOf = (id: string) => fleet.hosts.reduce((sum, { instance }) => (
    sum + (instance.executionCounts.get(id) ?? 0)
  ), 0);
  await fleet.stop();
  const wrong = findWrongAnswers(results, {
    runsOf, mayBe: (status) => status === 200 || status === 503,
  });
  assert.equal(wrong, []);
};

// Guards against requests that run twice, are answered as not run although they ran, or get an
// answer other than a refusal, when the nodes of all instances of a service stop.
addConcurrentTests(test, {
  '1 leaving: each request is answered, and none refused that has run': () => (
    stopInstances(['orders', 'ledger'])
  ),
  '2 leaving: each request is answered, and none refused that has run': () => (
    stopInstances(['orders', 'orders', 'ledger'])
  ),
});

test.run();
