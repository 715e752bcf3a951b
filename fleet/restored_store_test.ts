import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { splitAddress } from '../http/mod.ts';
import { type LoopbackFleet, startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('fleet with a restored store');

const METRICS_PORT = 18_624;
const START_LIMIT_MS = 8000;
const DRILL_MS = 4000;
/** The first owner of all keys shares them with the others after the start. */
const FIRST_MOVES_MS = 3000;

let fleet: LoopbackFleet;
let nextId = 0;

const send = async (host: number, path: string, key: number) => {
  nextId += 1;
  const response = await request(`http://${fleet.hosts[host]!.settings.listen.caller}${path}`, {
    headers: {
      host: 'shop.example',
      'request-id': `request-${nextId}`,
      'deadline-ms': '900',
      ...(path.startsWith('/keyed/') ? { 'shard-key': String(key) } : {}),
    },
  });
  await response.body.dump();
  return response.statusCode;
};

const waitUntilServed = async (path: string) => {
  const endsAt = Date.now() + START_LIMIT_MS;
  for (const [index] of fleet.hosts.entries()) {
    while (await send(index, path, 9000 * index) !== 200) {
      if (Date.now() > endsAt) throw new Error(`${path} is not served`);
      await sleep(50);
    }
  }
};

const metricsOf = async (host: number) => {
  const address = splitAddress(fleet.hosts[host]!.settings.listen.readiness).host;
  return (await request(`http://${address}:${METRICS_PORT}/metrics`)).body.text();
};

// Guards against keys that nobody serves, a contract that goes back, and hosts that do not notice,
// while the store comes back without what the nodes and the operator wrote last.
test('requests and the contract in force outlast a restore of the store', async () => {
  fleet = await startLoopbackFleet(['ledger', 'ledger', 'ledger', 'orders'], { storeEra: 1 });
  try {
    await waitUntilServed('/keyed/a');
    await sleep(FIRST_MOVES_MS);
    const copy = fleet.server.store.copy();
    await fleet.publish(2, '/extra/');
    await waitUntilServed('/extra/a');
    fleet.server.store.restore(copy);
    const statuses = new Map<number, number>();
    for (const endsAt = Date.now() + DRILL_MS; Date.now() < endsAt; await sleep(20)) {
      const host = nextId % fleet.hosts.length;
      const path = nextId % 3 === 0 ? '/extra/a' : '/keyed/a';
      const status = await send(host, path, (nextId * 977) % 65_536);
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
    }
    assert.equal([...statuses.keys()], [200]);
    for (const [index] of fleet.hosts.entries()) {
      const metrics = await metricsOf(index);
      assert.match(metrics, 'marjoramhollow_store_era 2');
      assert.match(metrics, 'marjoramhollow_contract_revision 2');
      assert.match(metrics, 'marjoramhollow_store_rewrites_total{what="entry"} 1');
    }
  } finally {
    await fleet.stop();
  }
});

test.run();
