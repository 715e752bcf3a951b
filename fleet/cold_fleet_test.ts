import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('cold instances behind nodes');

/** 4 x 1.5 + 3, as the contract and the settings of the fleet say. */
const MAX_PER_SECOND = 9;
const SECOND_MS = 1000;
const LOAD_MS = 2600;
const INTERVAL_MS = 8;

// Guards against senders that together send a cold instance more than each of them may.
test('two cold instances get their bound from all nodes and paths together', async () => {
  const fleet = await startLoopbackFleet(['orders', 'orders'], { coldMs: 60_000 });
  const callers = fleet.hosts.map(({ settings }) => settings.listen.caller);
  const runs = new Map<string, number[]>();
  let refused = 0;
  let nextId = 0;
  const call = async () => {
    nextId += 1;
    const path = ['/reads/a', '/orders/a', '/calls/a'][nextId % 3]!;
    const response = await request(`http://${callers[nextId % 2]}${path}`, {
      method: path === '/orders/a' ? 'POST' : 'GET',
      headers: { host: 'shop.example', 'request-id': `cold-${nextId}`, 'deadline-ms': '900' },
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      assert.is(response.statusCode, 503);
      assert.ok(Number(response.headers['retry-after']) > 0);
      refused += 1;
      return;
    }
    const instance = text.split(' ran at ')[1]!;
    runs.set(instance, [...runs.get(instance) ?? [], Date.now()]);
  };
  // The nodes have read the contract, and have been running for more than a second.
  await sleep(1.5 * SECOND_MS);
  const calls: Promise<void>[] = [];
  for (const endsAt = Date.now() + LOAD_MS; Date.now() < endsAt;) {
    calls.push(call());
    await sleep(INTERVAL_MS);
  }
  await Promise.all(calls);
  await fleet.stop();
  assert.is(runs.size, 2);
  for (const times of runs.values()) {
    for (const from of times) {
      const count = times.filter((at) => at >= from && at < from + SECOND_MS).length;
      assert.ok(count <= MAX_PER_SECOND, `${count} in a second`);
    }
    assert.ok(times.length > 2 * MAX_PER_SECOND, `${times.length} runs`);
  }
  assert.ok(refused > 0);
});

test.run();
