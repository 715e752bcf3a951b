import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Agent, request } from 'undici';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('requests around the close of the nodes of the last instances');

const WORK_MS = 60;
const INTERVAL_MS = 8;
const POLL_MS = 50;
/** Longer than the grace time, so that requests are sent after the exits, too. */
const DURATION_MS = 7000;
const STAGGER_MS = 400;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

let nextId = 0;
const kept = new Agent({ connections: 16, pipelining: 1 });

const send = async (address: string, path: string, isKept: boolean) => {
  nextId += 1;
  const id = `close-${nextId}`;
  const sentAt = performance.now();
  const dispatcher = isKept ? kept : new Agent({ connections: 1, pipelining: 1 });
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      dispatcher,
      method: path.startsWith('/orders') ? 'POST' : 'GET',
      headers: { host: 'shop.example', 'request-id': id, 'deadline-ms': '1000' },
    });
    const text = await body.text();
    return {
      id, path, sentAt, status: statusCode, text, tookMs: performance.now() - sentAt,
    };
  } catch (error) {
    return {
      id, path, sentAt, status: 0, text: String(error), tookMs: performance.now() - sentAt,
    };
  } finally {
    if (!isKept) dispatcher.close().catch(() => undefined);
  }
};

// Guards against requests that run twice, are answered as not run although they ran, or get an
// answer other than a refusal, when the nodes of all instances of a service stop.
for (const services of [['orders', 'ledger'], ['orders', 'orders', 'ledger']]) {
  const count = services.length - 1;
  test(`${count} leaving: each request is answered, and none refused that has run`, async () => {
    const fleet = await startLoopbackFleet(services, { workMs: WORK_MS });
    for (const { settings } of fleet.hosts) {
      for (;;) {
        const { status } = await send(settings.listen.caller, '/reads/x', false);
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
    const wrong: unknown[] = [];
    for (const {
      id, path, sentAt, status, text, tookMs,
    } of results) {
      const isPromiseBroken = NOT_RUN_STATUSES.has(status) && runsOf(id) > 0;
      if (isPromiseBroken || (path === '/orders/x' && runsOf(id) > 1)
        || (status !== 200 && status !== 503)) {
        wrong.push([id, path, Math.round(sentAt - startedAt), status, text, runsOf(id), tookMs]);
      }
    }
    assert.equal(wrong, []);
    await fleet.stop();
  });
}

test.run();
