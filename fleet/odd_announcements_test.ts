import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Announcement } from '../ranges/mod.ts';
import { createTestCluster, type TestCluster } from './_test_cluster.ts';

const test = suite('odd announcements');

const ANNOUNCE_INTERVAL_MS = 870;

/** Returns an announcement that another writer might send to a host of the cluster. */
const oddAnnouncement = (
  cluster: TestCluster,
  fields: Partial<Announcement> = {},
): Announcement => ({
  instance: 'i-odd',
  startedAt: cluster.clock.wallTime(),
  address: 'host-0:1',
  service: 'ledger',
  slots: 1,
  isDraining: false,
  sequence: 1,
  coldMs: 0,
  held: [],
  released: [],
  ...fields,
});

const oddFields: Readonly<Record<string, (cluster: TestCluster) => Partial<Announcement>>> = {
  'a service that nobody has': () => ({ service: 'not-named' }),
  'an identifier that nobody has': () => ({}),
  'a start in the future': () => ({ startedAt: 9e15 }),
  'the identifier and start of the instance, but another service': ({ hosts }) => {
    const { name, startedAt } = hosts[0]!.instance();
    return {
      instance: name, startedAt, service: 'not-named', sequence: 1_000_000,
    };
  },
};

// One report of another writer displaced the instance of a host. The keys of the instance were
// given to others while it held them, and it was not used again.
for (const [name, fieldsOf] of Object.entries(oddFields)) {
  test(`an announcement with ${name} displaces no instance`, async () => {
    const cluster = createTestCluster(3);
    await cluster.run(6000);
    const [host] = cluster.hosts;
    const before = host!.instance().held();
    assert.ok(before.length > 0);
    host!.announce(oddAnnouncement(cluster, fieldsOf(cluster)));
    // The cluster checks that no two instances hold the same key.
    await cluster.run(15_000);
    assert.equal(host!.instance().held(), before);
    cluster.stop();
  });
}

// The first announcement after a restart of a node came from another writer, and counted as proof
// that the instance of the host had ended.
test('one announcement after a restart does not prove that an earlier owner ended', async () => {
  const cluster = createTestCluster(3);
  await cluster.run(6000);
  const [host] = cluster.hosts;
  host!.setAnnouncementsDropped(true);
  host!.killNode();
  host!.startNode();
  await cluster.run(500);
  host!.announce(oddAnnouncement(cluster, { isDraining: true }));
  await cluster.run(5000);
  cluster.stop();
});

test('an instance that was replaced unnoticed is succeeded by one that goes on', async () => {
  const cluster = createTestCluster(3);
  await cluster.run(6000);
  const [host] = cluster.hosts;
  const before = host!.instance().name;
  host!.startInstance();
  await cluster.run(5 * ANNOUNCE_INTERVAL_MS);
  assert.is.not(host!.instance().name, before);
  assert.is(cluster.heldFraction(), 1);
  assert.ok(host!.instance().held().length > 0);
  cluster.stop();
});

test.run();
