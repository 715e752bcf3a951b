import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createKeyLoad, type Owner } from '../ranges/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createLoadCollector, decodeLoadReport } from './load_collector.ts';
import { createPlannerSuccession } from './planner_succession.ts';

const test = suite('planner succession');

const ownersOf = (...nodes: readonly string[]): readonly Owner[] => nodes.map((node) => (
  { node, instance: `i-${node}`, startedAt: 1 }
));

const setUp = (node: string) => {
  const clock = createFakeClock();
  let isAble = true;
  const succession = createPlannerSuccession({ clock, node, isAble: () => isAble });
  return {
    clock,
    succession,
    setAble: (value: boolean) => {
      isAble = value;
    },
  };
};

test('the first owner plans while it asks the others for their load', async () => {
  const owners = ownersOf('a', 'b', 'c');
  const { clock, succession } = setUp('b');
  for (let second = 0; second < 20; second += 1) {
    succession.recordRequest('a');
    assert.is(succession.isPlanner(owners), false);
    await clock.advance(1000);
  }
  assert.is(setUp('a').succession.isPlanner(owners), true);
});

// An entry that sorted first, and behind which nobody worked, kept the part of the planner.
test('the next owner plans within seconds when the first one does not work', async () => {
  const owners = ownersOf('a', 'b', 'c');
  const second = setUp('b');
  const third = setUp('c');
  for (const { succession } of [second, third]) succession.isPlanner(owners);
  await second.clock.advance(3100);
  assert.is(second.succession.isPlanner(owners), true);
  await third.clock.advance(3100);
  assert.is(third.succession.isPlanner(owners), false);
  third.succession.recordRequest('b');
  await third.clock.advance(2900);
  assert.is(third.succession.isPlanner(owners), false);
  await third.clock.advance(1000);
  assert.is(third.succession.isPlanner(owners), true);
});

test('a planner stops as soon as an owner before it works again', async () => {
  const owners = ownersOf('a', 'b');
  const { clock, succession } = setUp('b');
  succession.isPlanner(owners);
  await clock.advance(4000);
  assert.is(succession.isPlanner(owners), true);
  succession.recordRequest('a');
  assert.is(succession.isPlanner(owners), false);
});

test('requests of other nodes do not keep a planner from its part', async () => {
  const owners = ownersOf('a', 'b');
  const { clock, succession } = setUp('b');
  for (let second = 0; second < 5; second += 1) {
    succession.isPlanner(owners);
    for (let name = 0; name < 2000; name += 1) succession.recordRequest(`x-${name}`);
    await clock.advance(1000);
  }
  assert.is(succession.isPlanner(owners), true);
});

test('a node that is not able or no owner does not plan', () => {
  const { succession, setAble } = setUp('a');
  setAble(false);
  assert.is(succession.isPlanner(ownersOf('a', 'b')), false);
  setAble(true);
  assert.is(succession.isPlanner(ownersOf('b', 'c')), false);
  assert.is(succession.isPlanner([]), false);
});

// A bound on the cells of a report was below what an owner of many ranges reports, so that the
// planner took all owners for silent ones and planned nothing.
test('the report of an owner of many ranges is accepted', () => {
  const clock = createFakeClock();
  const load = createKeyLoad(clock);
  const ranges = Array.from({ length: 500 }, (_, index) => (
    { from: index * 100, to: index * 100 + 50 }
  ));
  for (const { from } of ranges) load.record(from + 3);
  const collector = createLoadCollector({
    clock,
    node: 'a',
    load,
    logger: noopLogger,
    ownRanges: () => ranges,
    ownCapacity: () => 10,
    ownWork: () => ({ slots: 1, classes: [{ workClass: 'safe/1/300', runs: 0.01, totalMs: 0 }] }),
  });
  const report = decodeLoadReport(collector.encodeOwnReport());
  assert.ok(report !== undefined && report.cells.length >= ranges.length);
});

// Guards against keys that are moved to a cold instance by the speed of its last run.
test('the capacity by which keys are placed is limited while an instance is cold', async () => {
  let limit: number | undefined;
  const collector = createLoadCollector({
    clock: createFakeClock(),
    node: 'a',
    load: { cells: () => [] } as never,
    logger: noopLogger,
    ownRanges: () => [],
    ownCapacity: () => 80,
    ownCapacityLimit: () => limit,
    ownWork: () => ({ slots: 4, classes: [{ workClass: 'safe/1/300', runs: 50, totalMs: 2500 }] }),
  });
  const owners = ownersOf('a');
  for (limit of [17, undefined]) {
    await collector.collect(owners.map((owner) => ({ owner, address: '10.0.0.1:1' })));
    assert.is(collector.loadSnapshotOf(owners).candidates[0]?.capacity, limit ?? 80);
    assert.is(decodeLoadReport(collector.encodeOwnReport())?.capacityLimit, limit);
  }
});

// Keys were given to an owner behind whose entry nobody answered, and were not served.
test('an owner that does not answer gets no further keys', async () => {
  const clock = createFakeClock();
  const silent = new Set(['10.0.0.1:1']);
  const asked: string[] = [];
  const collector = createLoadCollector({
    clock,
    node: 'b',
    load: { cells: () => [] } as never,
    logger: noopLogger,
    ownRanges: () => [],
    ownCapacity: () => 10,
    ownWork: () => ({ slots: 1, classes: [] }),
    fetchReportFrom: async (address, path) => {
      asked.push(path);
      if (silent.has(address)) throw new Error('no answer');
      return { status: 200, text: '{"capacity":5,"cells":[]}' };
    },
  });
  const owners = ownersOf('a', 'b', 'c');
  const endpoints = owners.map((owner, index) => ({ owner, address: `10.0.0.${index + 1}:1` }));
  const candidates = () => collector.loadSnapshotOf(owners).candidates
    .map(({ owner }) => owner.node);
  assert.equal(candidates(), ['a', 'b', 'c']);
  for (let round = 0; round < 2; round += 1) await collector.collect(endpoints);
  assert.equal(candidates(), ['a', 'b', 'c']);
  await collector.collect(endpoints);
  assert.equal(candidates(), ['b', 'c']);
  assert.is(asked[0], 'load?from=b');
  silent.clear();
  await collector.collect(endpoints);
  assert.equal(candidates(), ['a', 'b', 'c']);
});

// A planner that was cut off from the others would have given all free keys to itself.
test('a planner that reaches no other owner leaves none of them out', async () => {
  const collector = createLoadCollector({
    clock: createFakeClock(),
    node: 'a',
    load: { cells: () => [] } as never,
    logger: noopLogger,
    ownRanges: () => [],
    ownCapacity: () => 10,
    ownWork: () => ({ slots: 1, classes: [] }),
    fetchReportFrom: async () => {
      throw new Error('cut off');
    },
  });
  const owners = ownersOf('a', 'b', 'c');
  const endpoints = owners.map((owner) => ({ owner, address: '10.0.0.1:1' }));
  for (let round = 0; round < 5; round += 1) await collector.collect(endpoints);
  assert.is(collector.loadSnapshotOf(owners).candidates.length, 3);
});

test.run();
