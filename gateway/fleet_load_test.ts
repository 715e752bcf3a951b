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

const routes: readonly SimulatedRoute[] = [
  {
    name: 'order',
    service: 'control',
    kind: 'unsafe',
    priority: 1,
    targetLatencyMs: 540,
    deadlineMs: 3200,
    meanMs: 95,
    requestBytes: 1200,
    responseBytes: 5000,
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

test.run();
