import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  createSimulatedFleet, type SimulatedHost, type SimulatedRoute,
} from './_simulated_fleet.ts';

const test = suite('fleet load');

const hostsOf = (service: string, failureDomain: string, count: number): SimulatedHost[] => (
  Array.from({ length: count }, () => ({
    failureDomain, service, slots: 4, slowness: 1, linkMbps: 9,
  }))
);

const order: SimulatedRoute = {
  name: 'order',
  service: 'control',
  kind: 'unsafe',
  priority: 1,
  targetLatencyMs: 540,
  deadlineMs: 3200,
  meanMs: 95,
  requestBytes: 1200,
  responseBytes: 5000,
};

const routes: readonly SimulatedRoute[] = [
  {
    ...order,
    calls: {
      route: 'probe', times: 2, probability: 0.7, inParallel: true,
    },
  },
  {
    name: 'download',
    service: 'archive',
    kind: 'download',
    priority: 2,
    targetLatencyMs: 700,
    deadlineMs: 4700,
    meanMs: 58,
    requestBytes: 0,
    responseBytes: 90_000,
  },
  {
    name: 'probe',
    service: 'archive',
    kind: 'safe',
    priority: 0,
    targetLatencyMs: 136,
    deadlineMs: 340,
    meanMs: 21,
    requestBytes: 0,
    responseBytes: 300,
  },
];

// Nested calls waited at the link behind downloads, missed their deadlines and failed their
// parents, which held slots all the while.
test('downloads beyond the bandwidth of their hosts do not fail other requests', async () => {
  const hosts = [...hostsOf('archive', 'a', 2), ...hostsOf('control', 'a', 8)];
  const fleet = createSimulatedFleet(hosts, routes, 7);
  fleet.load('order', () => 60, 6000);
  // 28 downloads/s of 90 kB are 20 Mbit/s, more than the two links together.
  fleet.load('download', () => 28, 6000);
  await fleet.clock.advance(12_000);
  const orders = fleet.resultOf('order');
  const downloads = fleet.resultOf('download');
  console.log('downloads beyond the bandwidth', {
    orders: orders.inTime / orders.asked, downloads: downloads.inTime / downloads.asked,
  });
  assert.ok(orders.inTime >= orders.asked * 0.98, `${orders.inTime} of ${orders.asked} in time`);
  assert.ok(downloads.inTime >= downloads.asked * 0.5, `${downloads.inTime} downloads in time`);
});

const lookup: SimulatedRoute = {
  name: 'lookup',
  service: 'ledger',
  kind: 'safe',
  priority: 2,
  targetLatencyMs: 440,
  deadlineMs: 2700,
  meanMs: 80,
  requestBytes: 0,
  responseBytes: 1500,
  isKeyed: true,
};

// Guards against nodes that learn only from their own requests that an owner has no room: each of
// 200 sends less than one a second, and nearly all of them crossed a hop to be refused there.
test('the owner of a hot key is sent at most twice what it takes', async () => {
  const hosts = [
    ...hostsOf('ledger', 'a', 1),
    ...['a', 'b', 'c'].flatMap((domain) => hostsOf('control', domain, 66)),
  ];
  const fleet = createSimulatedFleet(hosts, [lookup], 11);
  fleet.load('lookup', () => 60, 20_000);
  await fleet.clock.advance(25_000);
  const { asked, inTime, refusedByPeers } = fleet.resultOf('lookup');
  console.log('a hot key', { asked, inTime, refusedByPeers });
  // Four slots of 80 ms serve 50 requests a second.
  assert.ok(inTime >= 20 * 50 * 0.85, `${inTime} in time`);
  assert.ok(refusedByPeers <= inTime, `${refusedByPeers} refused after a hop, ${inTime} in time`);
});

// Guards against instances that refuse all requests at once: they look idle, so that each node
// sends to them again and again, and learns of each of them by refusals of its own.
test('instances that refuse everything do not draw the requests of the others', async () => {
  const control = ['a', 'b', 'c'].flatMap((domain) => hostsOf('control', domain, 8));
  const hosts = [
    ...control.map((host, index) => ({ ...host, shedsAll: index % 2 === 0 })),
    ...['a', 'b', 'c'].flatMap((domain) => hostsOf('ledger', domain, 15)),
  ];
  const fleet = createSimulatedFleet(hosts, [order], 5);
  // The 12 sound instances serve 500 a second.
  fleet.load('order', () => 130, 10_000);
  await fleet.clock.advance(14_000);
  const { asked, inTime, refusedByInstances } = fleet.resultOf('order');
  console.log('instances that refuse everything', { asked, inTime, refusedByInstances });
  assert.ok(inTime >= asked * 0.95, `${inTime} of ${asked} in time`);
  // The retry budget of a service, of which refused arrivals are a part.
  assert.ok(refusedByInstances <= asked * 0.2, `${refusedByInstances} of ${asked} refused`);
});

test.run();
