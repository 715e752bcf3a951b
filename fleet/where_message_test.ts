import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { PublishedRoute } from '../contract/mod.ts';
import { createRouteTable, type TargetChooser } from '../gateway/mod.ts';
import type { InstanceEndpoint } from '../routing/mod.ts';
import { serveWhere, type WhereAnswer, type WhereSource } from './where_message.ts';

const test = suite('where message');

const route: PublishedRoute = {
  name: 'reads',
  host: 'shop.example',
  prefix: '/reads/',
  kind: 'safe',
  timeoutMs: 500,
  targetLatencyMs: 200,
  priority: 1,
  maxAttempts: 2,
  targets: [{ service: 'old', weight: 3 }, { service: 'new', weight: 1 }],
};

const view: InstanceEndpoint = {
  instance: 'i-1',
  node: 'n-1',
  peerAddress: '10.0.0.1:2',
  distance: 0,
  failureDomain: 'a',
  load: 2,
  slots: 6,
  serviceRate: 100,
  trafficShare: 1,
  acceptance: 0.25,
  ejected: false,
  loadAgeMs: 12,
};

const chooser: TargetChooser = {
  choose: ({ service }) => (service === 'new'
    ? { kind: 'none', reason: 'no instance is ready', retryAfterMs: 300 }
    : {
      kind: 'peer', node: 'n-1', address: '10.0.0.1:2', instance: 'i-1', reason: 'r', version: 0,
    }),
  report: () => undefined,
};

const ask = (changes: Partial<WhereSource> = {}, path = '/reads/1') => {
  const source: WhereSource = {
    node: 'n-0',
    routes: () => createRouteTable({ revision: 4, routes: [route], services: new Map() }),
    chooser,
    instanceViews: (service) => (service === 'old' ? [view] : []),
    sharesOf: () => new Map([['b', 0.2]]),
    phase: () => 'running',
    ...changes,
  };
  const query = new URLSearchParams({ method: 'GET', url: `http://shop.example${path}` });
  return JSON.parse(serveWhere(source, `where?${query}`)!) as WhereAnswer;
};

// With one drawn service, a question would miss that the other one has no instance.
test('each service of a split route is described, with what would reject the request', () => {
  const { destinations: [one, other], rejections } = ask();
  assert.equal(rejections, []);
  assert.is(one!.weight, 3);
  assert.is(one!.candidates[0]!.room, 4);
  assert.equal(one!.shares, { b: 0.2 });
  assert.equal(one!.rejections, ['i-1 refuses 75 % of the attempts']);
  assert.is(other!.target.kind, 'none');
  assert.match(other!.rejections[0]!, /no instance is ready \(503, .* 300 ms\)/u);
});

test('a node that stops, has no contract or no matching route says so', () => {
  assert.match(ask({ phase: () => 'leaving' }).rejections.join(), /the node stops/u);
  assert.match(ask({ routes: () => undefined }).rejections.join(), /no contract yet \(503\)/u);
  assert.match(ask({}, '/other').rejections.join(), /no route matches .* \(404\)/u);
});

test('a malformed question gets no answer and does not disturb the node', () => {
  const source = { routes: () => undefined, phase: () => 'running' } as unknown as WhereSource;
  const url = 'url=http%3A%2F%2Fx%2F';
  for (const query of ['', 'url=nonsense', `${url}&key=-1`, `${url}&key=`]) {
    assert.is(serveWhere(source, `where?method=GET&${query}`), undefined, query);
  }
});

test.run();
