import { once } from 'node:events';
import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('requests late in the grace time');

const GRACE_MS = 6000;
/** A request that was sent later than this after the signal must not be cut. */
const EXCUSED_UNTIL_MS = 3000;
/** A request that was sent earlier may be cut in the last sixth of the grace time. */
const CUT_FROM_MS = (GRACE_MS * 5) / 6;
const SEND_INTERVAL_MS = 60;
const TIMEOUT_MS = 3000;

interface Sent {
  readonly id: string;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly deadlineMs: number;
  /** Status, or the code of the error without an answer. */
  readonly result: number | string;
}

let nextId = 0;

const send = async (
  address: string,
  path: string,
  { deadlineMs, agent, startedAt }: {
    readonly deadlineMs: number; readonly agent: Agent | false; readonly startedAt: number;
  },
): Promise<Sent> => {
  nextId += 1;
  const id = `late-${nextId}`;
  const sentMs = performance.now() - startedAt;
  const [host, port] = address.split(':');
  const request = sendRequest({
    host,
    port,
    path,
    method: path.startsWith('/orders/') ? 'POST' : 'GET',
    agent,
    headers: {
      host: 'shop.example', 'request-id': id, 'deadline-ms': String(deadlineMs),
    },
  });
  let result: number | string;
  try {
    request.end();
    const [response] = await once(request, 'response') as [IncomingMessage];
    response.resume();
    await once(response, 'end');
    result = response.statusCode!;
  } catch (error) {
    result = (error as NodeJS.ErrnoException).code ?? String(error);
  }
  return {
    id, sentMs, endedMs: performance.now() - startedAt, deadlineMs, result,
  };
};

const cases = [
  { workMs: 600, deadlinesMs: [700, 1500] },
  { workMs: 1400, deadlinesMs: [1500, 3000] },
  { workMs: 2700, deadlinesMs: [1500, 3000] },
] as const;

type Stopped = 'caller' | 'peer' | 'both';

/** Sends requests through the whole grace time of one or both hosts, and checks each answer. */
const stopUnderLoad = async (stopped: Stopped, { workMs, deadlinesMs }: typeof cases[number]) => {
  const fleet = await startLoopbackFleet(['orders', 'orders'], { workMs, timeoutMs: TIMEOUT_MS });
  const { caller } = fleet.hosts[0]!.settings.listen;
  const startOptions = { deadlineMs: TIMEOUT_MS, agent: false, startedAt: 0 } as const;
  while ((await send(caller, '/reads/first', startOptions)).result !== 200) await sleep(50);
  // The entries of both nodes are known to both.
  await sleep(500);
  const agent = new Agent({ keepAlive: true });
  const startedAt = performance.now();
  const stopping = fleet.hosts
    .filter((_, index) => stopped === 'both' || index === (stopped === 'caller' ? 0 : 1))
    .map(async ({ node }) => {
      await node.stop();
      // The exit of the process.
      await node.kill();
      return performance.now() - startedAt;
    });
  const sent: Promise<Sent>[] = [];
  while (performance.now() - startedAt < GRACE_MS) {
    const deadlineMs = deadlinesMs[sent.length % 2]!;
    const path = sent.length % 3 === 0 ? '/calls/late' : '/orders/late';
    const connection = sent.length % 4 < 2 ? agent : false;
    sent.push(send(caller, path, { deadlineMs, agent: connection, startedAt }));
    await sleep(SEND_INTERVAL_MS);
  }
  const stoppedMs = Math.max(...await Promise.all(stopping));
  const answers = await Promise.all(sent);
  agent.destroy();
  await fleet.stop();
  assert.ok(stoppedMs < GRACE_MS, `stopped after ${stoppedMs} ms`);
  assert.ok(answers.some(({ result }) => result === 200), JSON.stringify(answers.slice(0, 40)));
  for (const answer of answers) {
    const seen = JSON.stringify({ stopped, workMs, ...answer });
    const runs = fleet.hosts.reduce((sum, { instance }) => (
      sum + (instance.executionCounts.get(answer.id) ?? 0)
    ), 0);
    const isTimeout = answer.endedMs - answer.sentMs >= answer.deadlineMs - SEND_INTERVAL_MS;
    const isExcused = answer.sentMs <= EXCUSED_UNTIL_MS && answer.endedMs >= CUT_FROM_MS;
    if (runs === 0) assert.ok(answer.result !== 200, seen);
    else assert.ok(answer.result === 200 || isTimeout || isExcused, `ran: ${seen}`);
    if (answer.result === 503) assert.is(runs, 0, seen);
    // A connection that was refused has never been accepted.
    if (runs === 0 && typeof answer.result === 'string') {
      assert.is(answer.result, 'ECONNREFUSED', seen);
    }
  }
};

// Requests that came late in the grace time were passed on, and cut without an answer at its end.
for (const stopped of ['caller', 'peer', 'both'] as const) {
  test(`${stopped}: what an instance runs is answered, and the rest is not run`, async () => {
    await Promise.all(cases.map((options) => stopUnderLoad(stopped, options)));
  });
}

test.run();
