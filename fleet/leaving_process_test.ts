import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { startPlatformInstance } from '../standins/mod.ts';
import { loopbackHost } from '../testing/loopback_host.ts';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';
import { listenersOf, startNodeProcess } from './_test_node_process.ts';
import { createTestSender, findWrongAnswers } from './_test_requests.ts';

const test = suite('requests of a peer around the end of the process of the last instance');

const host = loopbackHost(2);
const listeners = listenersOf(host);
const WORK_MS = 60;
const INTERVAL_MS = 3;
const POLL_MS = 50;
const GRACE_MS = 6000;
/** Time for which requests are sent after the end of the process. */
const AFTER_EXIT_MS = 300;
const SIGNAL_GAP_MS = 1000;
const DEADLINE_MS = 1000;

const send = createTestSender('process', DEADLINE_MS);

// Guards against requests that a peer takes to have not run, although they ran, or that get no
// answer from it, when the process beside the last instance of a service ends.
for (const signals of [
  ['SIGTERM'], ['SIGUSR2'], ['SIGTERM', 'SIGUSR2'], ['SIGTERM', 'SIGKILL'],
  ['SIGTERM', 'SIGSTOP', 'SIGCONT'],
] as const) {
  test(`${signals.join(', ')}: a peer answers, and refuses no request that ran`, async () => {
    const fleet = await startLoopbackFleet(['ledger']);
    const node = startNodeProcess({ host, storeAddress: fleet.server.address });
    await node.logged('"node: started"');
    const instance = await startPlatformInstance({
      service: 'orders', announceAddress: listeners.announcements, workMs: WORK_MS,
    });
    const other = fleet.hosts[0]!.settings.listen.caller;
    for (let served = 0; served < 40;) {
      served = (await send(other, '/reads/x')).status === 200 ? served + 1 : 0;
      if (served === 0) await sleep(POLL_MS);
    }
    const startedAt = performance.now();
    let endedAt = Infinity;
    const ended = node.ended.then((status) => {
      endedAt = performance.now();
      return status;
    });
    const gap = signals[0] === 'SIGUSR2' ? 2 : SIGNAL_GAP_MS;
    signals.forEach((signal, index) => {
      setTimeout(() => node.child.kill(signal), index * gap);
    });
    const answers: ReturnType<typeof send>[] = [];
    while (performance.now() < endedAt + AFTER_EXIT_MS) {
      const index = answers.length;
      answers.push(send(other, index % 2 === 0 ? '/orders/x' : '/reads/x', index % 3 === 0));
      await sleep(INTERVAL_MS);
    }
    await ended;
    const results = await Promise.all(answers);
    const mayFail = signals.some((signal) => signal === 'SIGKILL' || signal === 'SIGSTOP');
    const wrong = findWrongAnswers(results, {
      runsOf: (id) => instance.executionCounts.get(id) ?? 0,
      mayBe: (status) => (mayFail ? status !== 0 : status === 200 || status === 503),
    });
    instance.kill();
    await fleet.stop();
    assert.ok(endedAt - startedAt < GRACE_MS);
    const answered = results.filter(({ status }) => status === 200);
    assert.ok(answered.every(({ id }) => instance.executionCounts.has(id)), 'runs are not counted');
    assert.equal(wrong, []);
  });
}

test.run();
