import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createFakeNetwork, type PeerTransport } from '../peer/mod.ts';
import { InstanceState, MemberState, type MemberUpdate } from '../proto/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  chooseByRendezvous, createMembership, type Membership, rankByRendezvous,
} from './mod.ts';

interface Node {
  readonly name: string;
  readonly membership: Membership;
  readonly transport: PeerTransport;
}

const createFleet = (seed: number, seeds: readonly string[] = ['n0', 'n1']) => {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const store = createMemoryStore(clock);
  const generator = xoroshiro128plus(seed);
  const nodes = new Map<string, Node>();
  const start = (name: string, incarnation = '1', wallOffsetMs = 0) => {
    const transport = network.connect(name, { node: name, incarnation });
    const membership = createMembership({
      clock: { ...clock, wallTime: () => clock.wallTime() + wallOffsetMs },
      logger: noopLogger,
      transport,
      store,
      seeds,
      random: () => uniformFloat64(generator),
      self: {
        node: name,
        incarnation,
        region: 'r1',
        failureDomain: `d${Number(name.slice(1)) % 3}`,
        controlAddress: name,
        peerAddress: `${name}:peer`,
        instances: [{
          instance: `${name}/i`, service: 's', slots: 6, connections: 130, weight: 1, state: 0,
        }],
      },
    });
    nodes.set(name, { name, membership, transport });
    return membership;
  };
  const kill = async (name: string) => {
    const node = nodes.get(name)!;
    network.kill(name);
    nodes.delete(name);
    await node.membership.stop();
    await node.transport.close();
  };
  const everyNodeSees = (count: number) => (
    [...nodes.values()].every(({ membership }) => membership.members().length === count)
  );
  const partition = (left: readonly string[], right: readonly string[], both = true) => {
    for (const from of left) {
      for (const to of right) {
        network.cut(from, to);
        if (both) network.cut(to, from);
      }
    }
  };
  /** Waits until a condition holds and returns the elapsed ms; fails after the limit. */
  const until = async (condition: () => boolean, limitMs: number, what: string) => {
    const startedAtMs = clock.now();
    while (!condition()) {
      if (clock.now() - startedAtMs >= limitMs) assert.unreachable(`${what}: not in ${limitMs} ms`);
      await clock.advance(100);
    }
    return clock.now() - startedAtMs;
  };
  /** Counts the changes, from now on, that put a member into the given state or a worse one. */
  const countFrom = (worst: MemberState) => {
    let losses = 0;
    const onChange = ({ state }: MemberUpdate) => {
      losses += state >= worst ? 1 : 0;
    };
    for (const { membership } of nodes.values()) membership.onChange(onChange);
    return () => losses;
  };
  const startMany = (count: number) => {
    for (let index = 0; index < count; index += 1) start(`n${index}`);
  };
  return {
    clock,
    network,
    store,
    nodes,
    start,
    startMany,
    kill,
    everyNodeSees,
    partition,
    until,
    countFrom,
  };
};

const namesFrom = (first: number, last: number) => (
  Array.from({ length: last - first }, (_, index) => `n${first + index}`)
);

test('40 nodes discover each other through two seeds', async () => {
  const fleet = createFleet(1);
  fleet.startMany(40);
  const joinedMs = await fleet.until(() => fleet.everyNodeSees(40), 10_000, 'join');
  fleet.start('n40');
  const oneMoreMs = await fleet.until(() => fleet.everyNodeSees(41), 5000, 'one more');
  console.log(`  membership: 40 nodes converge in ${joinedMs} ms, one more in ${oneMoreMs} ms`);
});

test('a killed node is detected as dead, and its restart supersedes it within 5 s', async () => {
  const fleet = createFleet(2);
  fleet.startMany(16);
  await fleet.until(() => fleet.everyNodeSees(16), 10_000, 'join');
  await fleet.kill('n7');
  const deadMs = await fleet.until(() => fleet.everyNodeSees(15), 40_000, 'death');
  fleet.start('n7', '2');
  const backMs = await fleet.until(() => fleet.everyNodeSees(16), 5000, 'restart');
  await fleet.kill('n9');
  fleet.start('n9', '2');
  const isReplaced = ({ membership }: Node) => membership.find('n9')?.incarnation === '2';
  const swapMs = await fleet.until(() => [...fleet.nodes.values()].every(isReplaced), 5000, 'swap');
  console.log(`  membership: death ${deadMs} ms, return ${backMs} ms, quick restart ${swapMs} ms`);
});

test('a process whose clock was set back still supersedes its predecessor', async () => {
  const fleet = createFleet(3);
  fleet.startMany(5);
  await fleet.until(() => fleet.everyNodeSees(5), 10_000, 'join');
  await fleet.kill('n3');
  fleet.start('n3', '0', -3_600_000);
  const isReplaced = ({ membership }: Node) => membership.find('n3')?.incarnation === '0';
  await fleet.until(() => [...fleet.nodes.values()].every(isReplaced), 5000, 'swap');
});

test('a change of instances reaches 16 nodes within 2 s', async () => {
  const fleet = createFleet(4);
  fleet.startMany(16);
  await fleet.until(() => fleet.everyNodeSees(16), 10_000, 'join');
  const draining = {
    instance: 'n5/i',
    service: 's',
    slots: 6,
    connections: 130,
    weight: 1,
    state: InstanceState.INSTANCE_STATE_DRAINING,
  };
  fleet.nodes.get('n5')!.membership.updateInstances([draining]);
  const isKnown = ({ membership }: Node) => (
    membership.find('n5')?.instances[0]?.state === InstanceState.INSTANCE_STATE_DRAINING
  );
  const spreadMs = await fleet.until(() => [...fleet.nodes.values()].every(isKnown), 2000, 'drain');
  console.log(`  membership: a change of instances reaches 16 nodes in ${spreadMs} ms`);
});

test('a node that leaves is removed everywhere within 2 s and from the directory', async () => {
  const fleet = createFleet(5);
  fleet.startMany(8);
  await fleet.clock.advance(15_000);
  const writesAfterJoin = fleet.store.counters().writes;
  assert.ok(writesAfterJoin <= 8, `${writesAfterJoin} directory writes for 8 joins`);
  await fleet.clock.advance(120_000);
  assert.is(fleet.store.counters().writes, writesAfterJoin);
  const leaving = fleet.nodes.get('n2')!.membership.leave();
  fleet.nodes.delete('n2');
  await fleet.until(() => fleet.everyNodeSees(7), 2000, 'leave');
  await fleet.clock.advance(3000);
  await leaving;
  const entry = (await fleet.store.get('nodes/r1')).unwrapOr(undefined);
  assert.equal(Object.keys(JSON.parse(entry!.value).nodes).length, 7);
  assert.not(entry!.value.includes('"n2"'));
});

test('a one-way cut between two nodes causes no suspicion, due to indirect probes', async () => {
  const fleet = createFleet(6);
  fleet.startMany(8);
  await fleet.until(() => fleet.everyNodeSees(8), 10_000, 'join');
  fleet.partition(['n2'], ['n3'], false);
  const losses = fleet.countFrom(MemberState.MEMBER_STATE_SUSPECT);
  await fleet.clock.advance(60_000);
  assert.is(losses(), 0);
  assert.ok(fleet.everyNodeSees(8));
});

test('partitioned halves keep their own members and merge after the partition heals', async () => {
  const fleet = createFleet(7);
  fleet.startMany(12);
  await fleet.until(() => fleet.everyNodeSees(12), 10_000, 'join');
  fleet.partition(namesFrom(0, 6), namesFrom(6, 12));
  await fleet.until(() => fleet.everyNodeSees(6), 120_000, 'partition');
  await fleet.clock.advance(600_000);
  assert.ok(fleet.everyNodeSees(6));
  const losses = fleet.countFrom(MemberState.MEMBER_STATE_DEAD);
  fleet.network.healAll();
  const healedMs = await fleet.until(() => fleet.everyNodeSees(12), 60_000, 'heal');
  assert.is(losses(), 0, 'the heal marked no live member as dead');
  console.log(`  membership: two halves of 6 merge ${healedMs} ms after the heal`);
});

test('nodes join without the store, and register in the directory when it recovers', async () => {
  const fleet = createFleet(8);
  fleet.store.setDown(true);
  fleet.startMany(6);
  await fleet.until(() => fleet.everyNodeSees(6), 10_000, 'join');
  await fleet.clock.advance(60_000);
  fleet.store.setDown(false);
  await fleet.clock.advance(100_000);
  const entry = (await fleet.store.get('nodes/r1')).unwrapOr(undefined);
  assert.is(Object.keys(JSON.parse(entry?.value ?? '{"nodes":{}}').nodes).length, 6);
});

test('a node joins through the node directory if no seed answers', async () => {
  const fleet = createFleet(9);
  fleet.startMany(4);
  await fleet.clock.advance(15_000);
  await fleet.kill('n0');
  await fleet.kill('n1');
  await fleet.clock.advance(60_000);
  fleet.start('n9');
  await fleet.until(() => fleet.everyNodeSees(3), 20_000, 'join through the directory');
});

test('an idle node sends under 2000 bytes/s as the fleet grows', async () => {
  for (const count of [8, 16, 32, 64]) {
    const fleet = createFleet(10 + count);
    fleet.startMany(count);
    await fleet.until(() => fleet.everyNodeSees(count), 15_000, 'join');
    await fleet.clock.advance(60_000);
    const before = fleet.network.counters();
    await fleet.clock.advance(20_000);
    const after = fleet.network.counters();
    const perSecond = (after.bytes - before.bytes) / count / 20;
    const messages = (after.messages - before.messages) / count / 20;
    console.log(`  membership: ${count} nodes, sent per node and second: `
      + `${perSecond.toFixed(0)} bytes, ${messages.toFixed(1)} messages`);
    assert.ok(perSecond < 2000);
  }
});

test('the loss of a member reassigns only the keys of that member', () => {
  const members = namesFrom(0, 20);
  const without = members.filter((name) => name !== 'n7');
  for (let index = 0; index < 200; index += 1) {
    const key = `customer-${index}`;
    const ranked = rankByRendezvous(key, members);
    assert.equal(rankByRendezvous(key, without), ranked.filter((name) => name !== 'n7'));
    assert.equal(chooseByRendezvous(key, members, (name) => name, 3), ranked.slice(0, 3));
  }
});

test.run();
