import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { NodeEntry } from '../directory/mod.ts';
import { createKernel } from '../kernel/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import { domainView } from '../routing/_test_support.ts';
import { createNodeMetrics, noopLogger } from '../telemetry/mod.ts';
import { type DomainTraffic, registerDomainTraffic } from './_domain_traffic.ts';

const test = suite('domain traffic');

const entryOf = (node: string, failureDomain: string, slots: number): NodeEntry => ({
  node,
  startedAt: 1,
  peerAddress: `127.0.0.1:${node}`,
  region: 'r',
  failureDomain,
  isStopping: false,
  instance: {
    instance: `i-${node}`, startedAt: 1, service: 's', slots, state: 'ready', coldUntil: 0,
  },
});

const start = async (crossDomain: PlatformSettings['crossDomain']) => {
  const clock = createFakeClock();
  const metrics = createNodeMetrics();
  const entries = [entryOf('1', 'a', 10), entryOf('2', 'b', 30), entryOf('3', 'c', 10)];
  const kernel = createKernel();
  const services = {
    clock,
    metrics,
    logger: noopLogger,
    fleet: { usable: () => entries, onChange: () => undefined },
  };
  for (const [name, service] of Object.entries(services)) {
    kernel.register<unknown>({ name, needs: [], start: () => ({ service }) });
  }
  registerDomainTraffic(kernel, { failureDomain: 'a', crossDomain } as PlatformSettings);
  await kernel.start();
  return { clock, metrics, traffic: kernel.find<DomainTraffic>('domain-traffic') };
};

test('without a price in the settings, the rule by ratio stays in force', async () => {
  const { traffic } = await start(undefined);
  assert.is(traffic.spillover, undefined);
  assert.equal(traffic.peerListeners, {});
});

// All nodes of a test share an IP address, as do those behind an address translation.
test('round trips count for the domain of the address with its port', async () => {
  const { clock, metrics, traffic } = await start({ costMsPerKilobyte: 1 });
  const { spillover, peerListeners } = traffic;
  peerListeners.onRoundTrip!('127.0.0.1:2', 2);
  peerListeners.onRoundTrip!('127.0.0.1:9', 2);
  const views = ['a', 'b', 'c'].map((domain) => domainView(domain, domain === 'a'));
  const loadOf = (queued: number) => ({
    inFlight: queued > 0 ? 10 : 1, queued, limit: 10, serviceRate: 100,
  });
  for (let time = 0; time < 2000; time += 50) {
    spillover!.report('s', 'a', 'success', loadOf(20));
    for (const domain of ['b', 'c']) spillover!.report('s', domain, 'success', loadOf(0));
    spillover!.prefer('s', 'safe', views, () => 0.5);
    await clock.advance(50);
  }
  const shares = spillover!.sharesOf('s');
  assert.ok(shares.get('b')! > 0.2, `${shares.get('b')}`);
  assert.is(shares.get('c'), undefined, 'its round trip is unknown');
  const page = await metrics.text();
  assert.match(page, /marjoramhollow_spillover_share\{service="s",domain="b"\} 0\.\d/u);
});

test.run();
