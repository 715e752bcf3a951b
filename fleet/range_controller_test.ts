import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { nodeKey } from '../directory/mod.ts';
import { createTestCluster } from './_test_cluster.ts';

const test = suite('range controller');

const START_MS = 6000;
/** Time in ms for the takeover from a lost host: its entry and its last hold expire. */
const TAKEOVER_MS = 20_000;

const startCluster = async (count = 4) => {
  const cluster = createTestCluster(count);
  await cluster.run(START_MS);
  assert.is(cluster.heldFraction(), 1);
  return cluster;
};

test('all keys are held after the first start', async () => {
  await startCluster();
});

test('the keys of a killed instance are held by others within 4.5 seconds', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  hosts[1]!.killInstance();
  await run(4500);
  assert.is(heldFraction(), 1);
});

test('an instance that restarts as a new process gets keys again', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  hosts[1]!.killInstance();
  await run(4000);
  hosts[1]!.startInstance();
  await run(8000);
  assert.is(heldFraction(), 1);
  assert.ok(hosts[1]!.instance().held().length > 0);
});

test('a draining instance hands its keys over before it stops', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  hosts[2]!.instance().drain();
  await run(3000);
  assert.equal(hosts[2]!.instance().held(), []);
  assert.is(heldFraction(), 1);
});

test('the keys of a lost host move only after its last hold has expired', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  // The instance keeps its holds, but nothing on the host answers.
  hosts[0]!.killNode();
  hosts[0]!.setAnnouncementsDropped(true);
  await run(TAKEOVER_MS);
  assert.is(heldFraction(), 1);
});

test('a restarted node renews the holds of its instance', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  hosts[0]!.killNode();
  await run(2500);
  hosts[0]!.startNode();
  await run(3000);
  assert.is(heldFraction(), 1);
  assert.ok(hosts[0]!.instance().held().length > 0);
});

test('a store outage moves no key, even if all leases expire during it', async () => {
  const {
    store, hosts, run, heldFraction,
  } = await startCluster();
  const before = hosts.map((host) => JSON.stringify(host.instance().held()));
  store.faults.failWith = 'unavailable';
  await run(8000);
  assert.is(heldFraction(), 1);
  store.faults.failWith = undefined;
  store.expireAllLeases();
  await run(5000);
  assert.is(heldFraction(), 1);
  assert.equal(hosts.map((host) => JSON.stringify(host.instance().held())), before);
});

test('a partitioned host whose entry is withdrawn keeps its keys for 9 seconds', async () => {
  const {
    store, hosts, run, heldFraction,
  } = await startCluster();
  hosts[3]!.setStorePartitioned(true);
  store.removeEntry(nodeKey('host-3'));
  await run(9000);
  assert.is(heldFraction(), 1);
  hosts[3]!.setStorePartitioned(false);
  await run(4000);
  assert.is(heldFraction(), 1);
});

test('a host that stays partitioned loses its keys without a second holder', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  hosts[3]!.setStorePartitioned(true);
  await run(TAKEOVER_MS);
  assert.is(heldFraction(), 1);
  hosts[3]!.setStorePartitioned(false);
  await run(5000);
  assert.is(heldFraction(), 1);
});

test('the keys of an instance with lost announcements move when its hold expires', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  hosts[1]!.setAnnouncementsDropped(true);
  await run(13_000);
  assert.is(heldFraction(), 1);
  hosts[1]!.setAnnouncementsDropped(false);
  await run(5000);
  assert.is(heldFraction(), 1);
});

test('a restarted node whose instance was killed gives its keys to others', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  hosts[2]!.setStorePartitioned(true);
  hosts[2]!.killInstance();
  hosts[2]!.killNode();
  await run(1500);
  hosts[2]!.setStorePartitioned(false);
  hosts[2]!.startNode();
  await run(3000);
  assert.is(heldFraction(), 1);
});

test('the keys of a lost host move early when another host uses its address', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  const [lost, , , replacing] = hosts;
  for (const host of [lost!, replacing!]) {
    host.killNode();
    host.killInstance();
  }
  await run(1500);
  replacing!.changeAddress('host-0:2');
  replacing!.startNode();
  replacing!.startInstance();
  await run(6500);
  assert.is(heldFraction(), 1);
});

test('a store outage does not restart the wait for a lost host', async () => {
  const {
    store, hosts, run, heldFraction,
  } = await startCluster();
  hosts[0]!.killNode();
  hosts[0]!.setAnnouncementsDropped(true);
  await run(13_000);
  store.faults.failWith = 'unavailable';
  await run(6000);
  store.faults.failWith = undefined;
  await run(3000);
  assert.is(heldFraction(), 1);
});

test('every key keeps a single holder when replies of the store are lost', async () => {
  const {
    store, hosts, run, heldFraction,
  } = await startCluster();
  store.faults.loseReplies = true;
  hosts[1]!.killInstance();
  await run(1500);
  hosts[1]!.startInstance();
  await run(2500);
  store.faults.loseReplies = false;
  await run(4000);
  assert.is(heldFraction(), 1);
});

test('the fleet recovers from the simultaneous loss of all nodes', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  for (const host of hosts) host.killNode();
  await run(1500);
  for (const host of hosts) host.startNode();
  await run(4000);
  assert.is(heldFraction(), 1);
});

test('the fleet recovers from the simultaneous loss of all nodes and instances', async () => {
  const { hosts, run, heldFraction } = await startCluster();
  for (const host of hosts) {
    host.killNode();
    host.killInstance();
  }
  await run(1500);
  for (const host of hosts) {
    host.startInstance();
    host.startNode();
  }
  await run(6000);
  assert.is(heldFraction(), 1);
});

test.run();
