import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { startTcpRelay, type TcpRelay } from '../testing/tcp_relay.ts';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';

const test = suite('silent connections to the store');

/** A machine counts as sound again this time in ms after its connections have gone silent. */
const CONTACT_MS = 3000;
const PUBLISH_AFTER_MS = 500;
/** Connections of the watches of entries and of the contract. */
const WATCHES = 2;

// The watch of the contract waited on a silent connection for its own timeout of 9.5 s, and the
// node served the version that had been replaced.
for (const which of ['waiting', 'all'] as const) {
  test(`a contract is in force in time when ${which} connections go silent`, async () => {
    let relay: TcpRelay | undefined;
    const fleet = await startLoopbackFleet(['orders', 'orders'], {
      reachStoreThrough: async (address) => {
        relay = await startTcpRelay(address);
        return relay.address;
      },
    });
    const { caller } = fleet.hosts[0]!.settings.listen;
    const statusOf = async (path: string) => {
      const response = await request(`http://${caller}${path}`, {
        headers: { host: 'shop.example', 'request-id': 'r-1', 'deadline-ms': '900' },
      });
      await response.body.dump();
      return response.statusCode;
    };
    while (await statusOf('/reads/1') !== 200) await sleep(50);
    while (relay!.waiting() < WATCHES) await sleep(5);
    relay!.silence(which);
    await sleep(PUBLISH_AFTER_MS);
    await fleet.publish(2, '/added/');
    await sleep(CONTACT_MS - PUBLISH_AFTER_MS);
    const status = await statusOf('/added/1');
    await fleet.stop();
    relay!.kill();
    assert.is(status, 200);
  });
}

test.run();
