import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { nodeKey } from '../directory/mod.ts';
import { createTestKeepers } from './_test_keepers.ts';

const test = suite('range keeper');

const START_MS = 6000;
/** A lost host: its entry lapses, and its last hold ends. */
const TAKEOVER_MS = 20_000;

const started = async (count = 4) => {
  const keepers = createTestKeepers(count);
  await keepers.run(START_MS);
  assert.is(keepers.heldShare(), 1);
  return keepers;
};

test('all keys are held after a first start', async () => {
  await started();
});

test('the keys of an ended instance are held by others within two seconds', async () => {
  const { hosts, run, heldShare } = await started();
  hosts[1]!.killInstance();
  await run(4500);
  assert.is(heldShare(), 1);
});

test('an instance that comes back under a new life gets keys again', async () => {
  const { hosts, run, heldShare } = await started();
  hosts[1]!.killInstance();
  await run(4000);
  hosts[1]!.startInstance();
  await run(8000);
  assert.is(heldShare(), 1);
  assert.ok(hosts[1]!.instance().held().length > 0);
});

test('a draining instance hands its keys over before it ends', async () => {
  const { hosts, run, heldShare } = await started();
  hosts[2]!.instance().drain();
  await run(3000);
  assert.equal(hosts[2]!.instance().held(), []);
  assert.is(heldShare(), 1);
});

test('the keys of a lost host move only after its last hold has ended', async () => {
  const { hosts, run, heldShare } = await started();
  // The instance keeps its holds, but nothing on the host answers any more.
  hosts[0]!.killNode();
  hosts[0]!.cutAnnouncements(true);
  await run(TAKEOVER_MS);
  assert.is(heldShare(), 1);
});

test('a restarted node goes on with the holds of its instance', async () => {
  const { hosts, run, heldShare } = await started();
  hosts[0]!.killNode();
  await run(2500);
  hosts[0]!.startNode();
  await run(3000);
  assert.is(heldShare(), 1);
  assert.ok(hosts[0]!.instance().held().length > 0);
});

test('an outage of the store moves no key, also when all leases lapse in it', async () => {
  const {
    store, hosts, run, heldShare,
  } = await started();
  const before = hosts.map((host) => JSON.stringify(host.instance().held()));
  store.faults.down = 'unavailable';
  await run(8000);
  assert.is(heldShare(), 1);
  store.faults.down = undefined;
  store.lapseAll();
  await run(5000);
  assert.is(heldShare(), 1);
  assert.equal(hosts.map((host) => JSON.stringify(host.instance().held())), before);
});

test('a host that the store refuses keeps its keys while its entry is withdrawn', async () => {
  const {
    store, hosts, run, heldShare,
  } = await started();
  hosts[3]!.cutStore(true);
  store.withdraw(nodeKey('host-3'));
  await run(9000);
  assert.is(heldShare(), 1);
  hosts[3]!.cutStore(false);
  await run(4000);
  assert.is(heldShare(), 1);
});

test('a host that stays cut off from the store loses its keys safely', async () => {
  const { hosts, run, heldShare } = await started();
  hosts[3]!.cutStore(true);
  await run(TAKEOVER_MS);
  assert.is(heldShare(), 1);
  hosts[3]!.cutStore(false);
  await run(5000);
  assert.is(heldShare(), 1);
});

test('an instance with cut announcements is replaced when its hold ends', async () => {
  const { hosts, run, heldShare } = await started();
  hosts[1]!.cutAnnouncements(true);
  await run(13_000);
  assert.is(heldShare(), 1);
  hosts[1]!.cutAnnouncements(false);
  await run(5000);
  assert.is(heldShare(), 1);
});

test('a restarted node whose instance left gives its keys to others', async () => {
  const { hosts, run, heldShare } = await started();
  hosts[2]!.cutStore(true);
  hosts[2]!.killInstance();
  hosts[2]!.killNode();
  await run(1500);
  hosts[2]!.cutStore(false);
  hosts[2]!.startNode();
  await run(3000);
  assert.is(heldShare(), 1);
});

test('the keys of a host whose address another host uses move without a long wait', async () => {
  const { hosts, run, heldShare } = await started();
  const [lost, , , replacing] = hosts;
  for (const host of [lost!, replacing!]) {
    host.killNode();
    host.killInstance();
  }
  await run(1500);
  replacing!.moveTo('host-0:2');
  replacing!.startNode();
  replacing!.startInstance();
  await run(6500);
  assert.is(heldShare(), 1);
});

test('an outage of the store does not make the wait for a lost host start again', async () => {
  const {
    store, hosts, run, heldShare,
  } = await started();
  hosts[0]!.killNode();
  hosts[0]!.cutAnnouncements(true);
  await run(13_000);
  store.faults.down = 'unavailable';
  await run(6000);
  store.faults.down = undefined;
  await run(3000);
  assert.is(heldShare(), 1);
});

test('lost replies of the store leave one holder for each key', async () => {
  const {
    store, hosts, run, heldShare,
  } = await started();
  store.faults.loseReplies = true;
  hosts[1]!.killInstance();
  await run(1500);
  hosts[1]!.startInstance();
  await run(2500);
  store.faults.loseReplies = false;
  await run(4000);
  assert.is(heldShare(), 1);
});

test('all nodes can be lost at once', async () => {
  const { hosts, run, heldShare } = await started();
  for (const host of hosts) host.killNode();
  await run(1500);
  for (const host of hosts) host.startNode();
  await run(4000);
  assert.is(heldShare(), 1);
});

test('all hosts can be lost at once with their instances', async () => {
  const { hosts, run, heldShare } = await started();
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
  assert.is(heldShare(), 1);
});

test.run();
