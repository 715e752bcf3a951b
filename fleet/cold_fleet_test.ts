import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('cold instances behind nodes');

/** 4 x 1.5 + 3, as the contract and the settings of the fleet say. */
const MAX_PER_SECOND = 9;
const CALLS = 330;
const INTERVAL_MS = 8;

// Guards against senders that together send a cold instance more than each of them may.
test('two cold instances get their bound from all nodes and paths together', async () => {
  const fleet = await startLoopbackFleet(['orders', 'orders'], { coldMs: 60_000 });
  const runs = new Map<string, number[]>();
  const call = async (index: number) => {
    await sleep(index * INTERVAL_MS);
    const path = ['/reads/a', '/orders/a', '/calls/a'][index % 3]!;
    const { caller } = fleet.hosts[index % 2]!.settings.listen;
    const { statusCode, headers, body } = await request(`http://${caller}${path}`, {
      method: path === '/orders/a' ? 'POST' : 'GET',
      headers: { host: 'shop.example', 'request-id': `cold-${index}`, 'deadline-ms': '900' },
    });
    const instance = (await body.text()).split(' ran at ')[1];
    if (instance !== undefined) runs.set(instance, [...runs.get(instance) ?? [], Date.now()]);
    else assert.ok(statusCode === 503 && Number(headers['retry-after']) > 0, `${statusCode}`);
  };
  // The nodes have read the contract, and have been running for more than a second.
  await sleep(1500);
  await Promise.all(Array.from({ length: CALLS }, (_, index) => call(index)));
  await fleet.stop();
  assert.is(runs.size, 2);
  for (const times of runs.values()) {
    const counts = times.map((from) => times.filter((at) => at >= from && at < from + 1000).length);
    assert.ok(Math.max(...counts) <= MAX_PER_SECOND, `${counts} in a second`);
    assert.ok(times.length > 2 * MAX_PER_SECOND, `${times.length} runs`);
  }
});

test.run();
