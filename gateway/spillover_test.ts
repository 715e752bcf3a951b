import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  createSimulatedFleet, type RouteResult, type SimulatedHost, type SimulatedRoute,
} from './_simulated_fleet.ts';

const test = suite('spillover');

const DOMAINS = ['a', 'b', 'c', 'd'];
const HOSTS = 5;
const SLOTS = 4;
const MEAN_MS = 60;
const DURATION_MS = 12_000;
/** Requests per second that a domain can serve. */
const CAPACITY = (HOSTS * SLOTS * 1000) / MEAN_MS;

const lookup: SimulatedRoute = {
  name: 'lookup',
  service: 's',
  kind: 'safe',
  priority: 1,
  targetLatencyMs: 300,
  deadlineMs: 1500,
  meanMs: MEAN_MS,
  requestBytes: 300,
  responseBytes: 1500,
};

interface Scenario {
  /** Demand per capacity of a domain at a time in ms. */
  readonly demand: (domain: string, now: number) => number;
  readonly hostsOf?: (domain: string) => number;
  readonly speedOf?: (index: number) => number;
  /** Changes hosts of domain b in the middle of the time. */
  readonly change?: (host: SimulatedHost) => void;
}

const describeResult = ({
  asked, inTime, durations, crossDomainBytes, refused,
}: RouteResult) => ({
  inTime: inTime / asked,
  refused: refused / asked,
  meanMs: durations.reduce((sum, duration) => sum + duration, 0) / durations.length,
  crossDomainBytes,
});

const run = async (scenario: Scenario, costMsPerKilobyte?: number) => {
  const { hostsOf = () => HOSTS, speedOf = () => 1 } = scenario;
  const hosts = DOMAINS.flatMap((failureDomain) => (
    Array.from({ length: hostsOf(failureDomain) }, (_, index): SimulatedHost => ({
      failureDomain, service: 's', slots: SLOTS, slowness: 1 / speedOf(index), linkMbps: 100,
    }))
  ));
  const fleet = createSimulatedFleet(hosts, [lookup], 5, { oneWayMs: 4.5, costMsPerKilobyte });
  const startedAt = fleet.clock.now();
  fleet.load('lookup', (domain) => (
    CAPACITY * scenario.demand(domain, fleet.clock.now() - startedAt)
  ), DURATION_MS);
  await fleet.clock.advance(DURATION_MS / 2);
  for (const host of hosts) if (host.failureDomain === 'b') scenario.change?.(host);
  await fleet.clock.advance(DURATION_MS);
  return describeResult(fleet.resultOf('lookup'));
};

/** Runs a scenario by the rule by ratio and by shares. */
const compare = async (name: string, scenario: Scenario) => {
  const byRatio = await run(scenario);
  const byShares = await run(scenario, 1);
  console.log(name, { byRatio, byShares });
  return { byRatio, byShares };
};

/** Difference in the fraction served in time that is noise between two runs. */
const NOISE = 0.005;

const isShort = (domain: string) => (domain === 'a' ? 1.3 : 0.5);

// The rule by ratio counts a round trip of 9 ms and the transfer as 1 ms.
test('one short domain: as many requests in time for fewer bytes between domains', async () => {
  const { byRatio, byShares } = await compare('one short', { demand: isShort });
  assert.ok(byShares.inTime >= byRatio.inTime - NOISE);
  assert.ok(byShares.crossDomainBytes < byRatio.crossDomainBytes);
});

// All nodes followed loads that were stale, at the price of round trips.
test('all domains short: nearly no request leaves, and no fewer are in time', async () => {
  const { byRatio, byShares } = await compare('all short', { demand: () => 1.3 });
  assert.ok(byShares.inTime >= byRatio.inTime - NOISE);
  assert.ok(byShares.crossDomainBytes < byRatio.crossDomainBytes / 10);
});

test('one slow domain: shorter latency, and no fewer in time', async () => {
  const { byRatio, byShares } = await compare('one slow', {
    demand: () => 0.4,
    change: (host) => {
      Object.assign(host, { slowness: 3 });
    },
  });
  assert.ok(byShares.inTime >= byRatio.inTime - NOISE);
  assert.ok(byShares.meanMs < byRatio.meanMs);
});

// Attempts into a partition cost the connection timeout each, as a lost domain looked idle.
test('a domain cut off: requests stop going there', async () => {
  const { byRatio, byShares } = await compare('cut off', {
    demand: isShort,
    change: (host) => {
      Object.assign(host, { isCutOff: true });
    },
  });
  assert.ok(byShares.inTime > byRatio.inTime + NOISE);
});

// An instance whose load is no longer reported looks idle to the rule by ratio.
test('reports of a domain stop as it becomes slow: requests stop going there', async () => {
  const { byRatio, byShares } = await compare('stale reports', {
    demand: isShort,
    change: (host) => {
      Object.assign(host, { hidesLoad: true, slowness: 3 });
    },
  });
  assert.ok(byShares.inTime > byRatio.inTime + NOISE);
});

test('after a shortage has ended, requests stay', async () => {
  const { byRatio, byShares } = await compare('end of a shortage', {
    demand: (domain, now) => (now < DURATION_MS / 2 ? isShort(domain) : 0.5),
  });
  assert.ok(byShares.inTime >= byRatio.inTime - NOISE);
  assert.ok(byShares.crossDomainBytes < byRatio.crossDomainBytes);
});

test('waves in an uneven fleet: no fewer in time for fewer bytes', async () => {
  const { byRatio, byShares } = await compare('waves', {
    // Domain a has a fifth of the hosts and over a quarter of the demand; speeds are 0.5 to 1.5.
    hostsOf: (domain) => (domain === 'a' ? 4 : 5),
    speedOf: (index) => [0.5, 0.8, 1, 1.2, 1.5][index]!,
    demand: (domain, now) => {
      const phase = DOMAINS.indexOf(domain) / DOMAINS.length;
      return 0.65 * (1 + 0.5 * Math.sin(2 * Math.PI * (now / 13_000 + phase)));
    },
  });
  assert.ok(byShares.inTime >= byRatio.inTime - NOISE);
  assert.ok(byShares.crossDomainBytes < byRatio.crossDomainBytes);
});

test.run();
