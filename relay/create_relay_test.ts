import * as fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createMembership, type Membership } from '../membership/mod.ts';
import { createFakeNetwork, type PeerTransport } from '../peer/mod.ts';
import type { MemberUpdate } from '../proto/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createRelay, type Relay } from './mod.ts';

const member = (index: number): MemberUpdate => ({
  node: `n${index}`,
  incarnation: '1',
  counter: 1,
  state: 0,
  region: 'r1',
  failureDomain: `d${index % 3}`,
  controlAddress: `n${index}`,
  peerAddress: '',
  instances: [],
});

/** Creates a static membership that knows all nodes from the start. */
const fixedMembership = (self: number, count: number): Membership => {
  const members = Array.from({ length: count }, (_, index) => member(index));
  return {
    self: () => members[self]!,
    members: () => members,
    find: (node) => members.find((other) => other.node === node),
    updateInstances: () => undefined,
    onChange: () => () => undefined,
    leave: async () => undefined,
    stop: async () => undefined,
  };
};

const createFleet = (seed: number, size: number) => {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const store = createMemoryStore(clock);
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const relays: Relay[] = [];
  const start = (index: number, join?: (transport: PeerTransport) => Membership) => {
    const transport = network.connect(`n${index}`, { node: `n${index}`, incarnation: '1' });
    const membership = join?.(transport) ?? fixedMembership(index, size);
    relays[index] = createRelay({
      clock, logger: noopLogger, transport, membership, store, random,
    });
    return relays[index];
  };
  const allHave = (key: string, revision: number) => (
    relays.every((relay) => relay.current(key)?.revision === revision)
  );
  const until = async (condition: () => boolean, limitMs: number) => {
    const startedAtMs = clock.now();
    while (!condition()) {
      if (clock.now() - startedAtMs >= limitMs) assert.unreachable(`not met in ${limitMs} ms`);
      await clock.advance(20);
    }
    return clock.now() - startedAtMs;
  };
  const write = async (key: string, expectedRevision: number) => (
    (await store.compareAndSwap(key, expectedRevision, `value of ${key}`)).unwrapOr(0)
  );
  return {
    clock, network, store, relays, start, allHave, until, write, random,
  };
};

const startAll = (fleet: ReturnType<typeof createFleet>, count: number) => {
  for (let index = 0; index < count; index += 1) fleet.start(index);
};

test('a write reaches 40 nodes within 2 s, through two watches per domain and prefix', async () => {
  const fleet = createFleet(1, 40);
  startAll(fleet, 40);
  await fleet.clock.advance(2000);
  const { reads, watches } = fleet.store.counters();
  assert.is(reads, 12, 'two nodes in each of 3 failure domains list each of 2 prefixes');
  assert.is(watches, 12);
  const revision = await fleet.write('contracts/acme', 0);
  const spreadMs = await fleet.until(() => fleet.allHave('contracts/acme', revision), 2000);
  console.log(`  relay: a write reaches 40 nodes in ${spreadMs} ms`);
  await fleet.clock.advance(60_000);
  assert.ok(fleet.store.counters().reads - reads === 0, 'no node polls the store in 60 s');
});

test('a node that starts during a store outage gets the newest entry from its peers', async () => {
  const fleet = createFleet(2, 6);
  startAll(fleet, 5);
  const old = await fleet.write('placement/s', 0);
  await fleet.until(() => fleet.allHave('placement/s', old), 2000);
  fleet.store.setDown(true);
  fleet.relays[3]!.publish({ key: 'placement/s', revision: old + 5, value: 'newest' });
  await fleet.clock.advance(10);
  fleet.start(5);
  await fleet.until(() => fleet.allHave('placement/s', old + 5), 2000);
  assert.is(fleet.relays[5]!.current('placement/s')?.value, 'newest');
});

test('a node that missed all announcements catches up by anti-entropy', async () => {
  const fleet = createFleet(3, 8);
  startAll(fleet, 8);
  await fleet.clock.advance(2000);
  for (let from = 0; from < 7; from += 1) {
    fleet.network.cut(`n${from}`, 'n7');
    fleet.network.cut('n7', `n${from}`);
  }
  fleet.store.setDown(true);
  fleet.relays[0]!.publish({ key: 'contracts/acme', revision: 9, value: 'v' });
  await fleet.clock.advance(30_000);
  assert.is(fleet.relays[7]!.current('contracts/acme'), undefined);
  fleet.network.healAll();
  const caughtUpMs = await fleet.until(() => fleet.allHave('contracts/acme', 9), 11_000);
  console.log(`  relay: a partitioned node catches up ${caughtUpMs} ms after the heal`);
});

test('watches resume after a store outage, and a lower revision is never accepted', async () => {
  const fleet = createFleet(4, 9);
  startAll(fleet, 9);
  const first = await fleet.write('contracts/acme', 0);
  await fleet.until(() => fleet.allHave('contracts/acme', first), 2000);
  fleet.store.setDown(true);
  await fleet.clock.advance(300_000);
  const readsInOutage = fleet.store.counters().reads + fleet.store.counters().watches;
  assert.ok(readsInOutage < 6 * 2 * 90, `${readsInOutage} store calls by the end of the outage`);
  fleet.store.setDown(false);
  const second = await fleet.write('contracts/acme', first);
  await fleet.until(() => fleet.allHave('contracts/acme', second), 7000);
  for (const relay of fleet.relays) {
    relay.publish({ key: 'contracts/acme', revision: first, value: 'old' });
    relay.publish({ key: 'other/acme', revision: 99, value: 'not relayed' });
  }
  assert.ok(fleet.allHave('contracts/acme', second), 'a lower revision was rejected');
  await fleet.clock.advance(10_000);
  assert.ok(fleet.allHave('contracts/acme', second));
  assert.is(fleet.relays[0]!.current('other/acme'), undefined);
});

test('a listener that throws blocks neither the entry nor the other listeners', async () => {
  const fleet = createFleet(5, 1);
  const relay = fleet.start(0);
  const seen: string[] = [];
  relay.onChange('contracts/', () => {
    throw new Error('listener error');
  });
  const remove = relay.onChange('contracts/', ({ key }) => seen.push(key));
  relay.publish({ key: 'contracts/a', revision: 1, value: 'v' });
  remove();
  relay.publish({ key: 'contracts/b', revision: 2, value: 'v' });
  assert.equal(seen, ['contracts/a']);
  assert.equal(relay.list('contracts/').map(({ key }) => key), ['contracts/a', 'contracts/b']);
});

const publication = fc.record({
  node: fc.nat(3), key: fc.nat(2), revision: fc.integer({ min: 1, max: 12 }), cut: fc.boolean(),
});

test('with entries and cuts in any order, all nodes converge to the highest revision', async () => {
  await fc.assert(fc.asyncProperty(
    fc.array(publication, { minLength: 1, maxLength: 25 }),
    fc.nat(1000),
    async (publications, seed) => {
      const fleet = createFleet(seed, 4);
      fleet.store.setDown(true);
      startAll(fleet, 4);
      const highest = new Map<string, number>();
      const seen = new Map<string, number>();
      const regressions: string[] = [];
      fleet.relays.forEach((relay, index) => relay.onChange('', ({ key, revision }) => {
        const previous = seen.get(`${index} ${key}`) ?? 0;
        if (revision <= previous) regressions.push(`${index} ${key}: ${previous} to ${revision}`);
        seen.set(`${index} ${key}`, revision);
      }));
      for (const {
        node, key: number, revision, cut,
      } of publications) {
        const key = `contracts/${number}`;
        if (cut) fleet.network.cut(`n${node}`, `n${(node + 1) % 4}`);
        else fleet.network.healAll();
        fleet.relays[node]!.publish({ key, revision, value: `${key} ${revision}` });
        highest.set(key, Math.max(highest.get(key) ?? 0, revision));
        await fleet.clock.advance(fleet.random() * 20);
      }
      fleet.network.healAll();
      await fleet.clock.advance(40_000);
      assert.equal(regressions, []);
      for (const [key, revision] of highest) {
        assert.ok(fleet.allHave(key, revision));
        const value = `${key} ${revision}`;
        assert.ok(fleet.relays.every((relay) => relay.current(key)?.value === value));
      }
      for (const relay of fleet.relays) await relay.stop();
    },
  ), { seed: 20_261_204, numRuns: 25 });
});

test('membership and relay send under 2000 bytes/s per idle node as the fleet grows', async () => {
  for (const count of [8, 16, 32, 64]) {
    const fleet = createFleet(10 + count, count);
    for (let index = 0; index < count; index += 1) {
      fleet.start(index, (transport) => createMembership({
        clock: fleet.clock,
        logger: noopLogger,
        transport,
        seeds: ['n0', 'n1'],
        random: fleet.random,
        self: member(index),
      }));
    }
    for (let key = 0; key < 50; key += 1) await fleet.write(`contracts/customer-${key}`, 0);
    const lastKey = 'contracts/customer-49';
    await fleet.until(() => fleet.allHave(lastKey, 50), 20_000);
    await fleet.clock.advance(60_000);
    const before = fleet.network.counters();
    const perNodeSecond = (bytes: number, seconds: number) => (
      ((bytes - before.bytes) / count / seconds).toFixed(0)
    );
    await fleet.clock.advance(20_000);
    const idle = perNodeSecond(fleet.network.counters().bytes, 20);
    const revision = await fleet.write(lastKey, 50);
    const spreadMs = await fleet.until(() => fleet.allHave(lastKey, revision), 2000);
    console.log(`  relay: ${count} nodes, 50 entries: ${idle} bytes sent per node and second `
      + `with membership, a write reaches all nodes in ${spreadMs} ms`);
    assert.ok(Number(idle) < 2000);
  }
});

test.run();
