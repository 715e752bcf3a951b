import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { PublishedContract, PublishedRoute } from '../contract/mod.ts';
import { createServiceRetryBudget } from './service_retry_budget.ts';
import { chooseService, createRouteTable } from './route_table.ts';

const test = suite('route table and retry budget');

const routeOf = (name: string, prefix: string, host = 'shop.example'): PublishedRoute => ({
  name,
  host,
  prefix,
  kind: 'safe',
  timeoutMs: 1000,
  targetLatencyMs: 300,
  priority: 1,
  maxAttempts: 2,
  targets: [{ service: 'ledger', weight: 1 }],
});

const tableOf = (...routes: readonly PublishedRoute[]) => createRouteTable({
  revision: 3, routes, services: new Map(),
} satisfies PublishedContract);

test('the route with the longest matching prefix of the host wins', () => {
  const short = routeOf('short', '/a/');
  const long = routeOf('long', '/a/b/');
  const table = tableOf(short, long, routeOf('root', '/', 'x'));
  assert.is(table.match('SHOP.example:8080', '/a/b/c?d=/e/')?.name, 'long');
  assert.is(table.match('shop.example', '/a/x')?.name, 'short');
  assert.is(table.match('shop.example', '/b/'), undefined);
  assert.is(table.match('other.example', '/a/'), undefined);
});

test('services are chosen in proportion to their weights', () => {
  const route = {
    ...routeOf('split', '/'), targets: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }],
  };
  const chosen = Array.from({ length: 100 }, (_, index) => chooseService(route, () => index / 100));
  assert.is(chosen.filter((service) => service === 'b').length, 10);
});

test('all nodes together stay within the retry limit of the fleet', async () => {
  const clock = createFakeClock();
  const nodes = 13;
  const budgets = Array.from({ length: nodes }, () => createServiceRetryBudget({
    clock, ratio: 0.2, extraRetries: 62, windowMs: 10_000, nodeCount: () => nodes,
  }));
  let requests = 0;
  let retries = 0;
  for (let step = 0; step < 100; step += 1) {
    for (const budget of budgets) {
      budget.deposit('ledger');
      requests += 1;
      while (budget.withdraw('ledger')) retries += 1;
    }
    await clock.advance(100);
  }
  assert.ok(retries > 0);
  assert.ok(retries <= 0.2 * requests + 62, `${retries} retries for ${requests} requests`);
});

test.run();
