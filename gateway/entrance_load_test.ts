import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  createSimulatedFleet, type SimulatedHost, type SimulatedRoute,
} from './_simulated_fleet.ts';

const test = suite('entrance under load');

const hostsOf = (service: string, count: number): SimulatedHost[] => (
  Array.from({ length: count }, (_, index) => ({
    failureDomain: ['a', 'b', 'c'][index % 3]!, service, slots: 4, slowness: 1, linkMbps: 9,
  }))
);

const browse: SimulatedRoute = {
  name: 'browse',
  service: 'shop',
  kind: 'safe',
  priority: 2,
  targetLatencyMs: 540,
  deadlineMs: 3200,
  meanMs: 80,
  requestBytes: 300,
  responseBytes: 1500,
};
const order: SimulatedRoute = {
  ...browse, name: 'order', kind: 'unsafe', priority: 1,
};

const LOAD_MS = 15_000;
/** 12 instances with 4 slots and 80 ms. */
const ROOM_PER_SECOND = 600;

// Guards against requests that cross a hop to be refused, and against lower ranks that are served
// while a higher one is refused: the entrance sent all ranks alike.
test('at 1.5 times the room, high ranks are served and few hops are in vain', async () => {
  const fleet = createSimulatedFleet([...hostsOf('shop', 12), ...hostsOf('control', 60)], [
    browse, order,
  ], 3);
  fleet.load('order', () => 100, LOAD_MS, 2);
  fleet.load('browse', () => 200, LOAD_MS, 2);
  await fleet.clock.advance(LOAD_MS + 5000);
  const [orders, browses] = [fleet.resultOf('order'), fleet.resultOf('browse')];
  const answers = orders.inTime + orders.late + browses.inTime + browses.late;
  const figures = {
    orders: (orders.inTime + orders.late) / orders.asked,
    ordersInTime: orders.inTime / orders.asked,
    browses: (browses.inTime + browses.late) / browses.asked,
    refusalsPerAnswer: (orders.refused + browses.refused) / answers,
    hopsInVainPerAnswer: (orders.refusedByPeers + browses.refusedByPeers) / answers,
    roomUsed: answers / ((ROOM_PER_SECOND * LOAD_MS) / 1000),
  };
  console.log('demand at 1.5 times the room', figures);
  assert.ok(figures.orders >= 0.95, `${figures.orders} of the orders answered`);
  // The target for all refusals on the heaviest days.
  assert.ok(figures.hopsInVainPerAnswer <= 0.7, `${figures.hopsInVainPerAnswer} hops in vain`);
  assert.ok(figures.roomUsed >= 0.9, `${figures.roomUsed} of the room used`);
});

// Guards against an entrance that holds requests back for single refusals while slots are free.
test('at nine tenths of the room, nearly every request is answered', async () => {
  const fleet = createSimulatedFleet([...hostsOf('shop', 12), ...hostsOf('control', 60)], [
    browse, order,
  ], 3);
  fleet.load('order', () => 60, LOAD_MS, 2);
  fleet.load('browse', () => 120, LOAD_MS, 2);
  await fleet.clock.advance(LOAD_MS + 5000);
  const { asked, inTime, late } = fleet.resultOf('browse');
  console.log('nine tenths of the room', { asked, inTime, late });
  assert.ok(inTime + late >= asked * 0.999, `${inTime + late} of ${asked} answered`);
});

const probe: SimulatedRoute = {
  ...browse, name: 'probe', service: 'archive', priority: 0, targetLatencyMs: 136, deadlineMs: 340,
};

// Guards against runs that take slots and end in vain, since their calls find no room elsewhere.
test('few runs end in vain when the service that they call is the scarce one', async () => {
  const hosts = [...hostsOf('shop', 24), ...hostsOf('archive', 6), ...hostsOf('control', 42)];
  const fleet = createSimulatedFleet(hosts, [
    {
      ...order,
      calls: {
        route: 'probe', times: 2, probability: 1, inParallel: true,
      },
    },
    probe,
  ], 3);
  // The archive has room for 300 calls a second, which are 150 runs.
  fleet.load('order', () => 75, LOAD_MS, 2);
  await fleet.clock.advance(LOAD_MS + 5000);
  const {
    failed, inTime, late, refused,
  } = fleet.resultOf('order');
  const figures = {
    inVain: failed / (failed + inTime + late),
    refusalsPerAnswer: refused / (inTime + late),
    roomUsed: (inTime + late) / ((150 * LOAD_MS) / 1000),
  };
  console.log('runs whose calls find no room', figures);
  assert.ok(figures.inVain <= 0.1, `${figures.inVain} of the runs in vain`);
  // An entrance that sends nothing would pass the first check.
  assert.ok(figures.roomUsed >= 0.5, `${figures.roomUsed} of the room used`);
});

// Guards against runs of a low rank that take the room of a service that both call: nested calls
// carry the rank of their own route, so that the destination cannot tell their runs apart.
test('of runs whose calls compete for a service, high ranks are served more often', async () => {
  const hosts = [
    ...hostsOf('shop', 12),
    ...hostsOf('desk', 12),
    ...hostsOf('archive', 6),
    ...hostsOf('control', 42),
  ];
  const calls = {
    route: 'probe', times: 2, probability: 1, inParallel: true,
  };
  const report: SimulatedRoute = {
    ...order, name: 'report', service: 'desk', priority: 3, calls,
  };
  const fleet = createSimulatedFleet(hosts, [{ ...order, calls }, report, probe], 3);
  fleet.load('order', () => 37, 2 * LOAD_MS, 2);
  fleet.load('report', () => 37, 2 * LOAD_MS, 2);
  await fleet.clock.advance(2 * LOAD_MS + 5000);
  const servedOf = (route: string) => {
    const {
      asked, inTime, late, failed,
    } = fleet.resultOf(route);
    return { served: (inTime + late) / asked, inVain: failed / (failed + inTime + late) };
  };
  const [orders, reports] = [servedOf('order'), servedOf('report')];
  console.log('runs of two services', { orders, reports });
  assert.ok(orders.served >= reports.served, `${orders.served} and ${reports.served} served`);
});

test.run();
