import fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import {
  createFleetView, createStoreView, decodeNodeEntry, KEY_PREFIX, MAX_ENTRY_LENGTH, type NodeEntry,
  nodeKey, RANGES_PREFIX, rangesKey,
} from '../directory/mod.ts';
import { decodeAnnouncement, decodeContract } from '../platform/mod.ts';
import { decodeRecord } from '../ranges/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createTestCluster } from './_test_cluster.ts';
import { decodeChanges } from './changes_message.ts';
import { decodeLoadReport } from './load_collector.ts';

const test = suite('odd entries');

const SEED = 20_261_205;
const RUNS = 300;
const DEPTH = 200_000;

const soundEntry: NodeEntry = {
  node: 'host-00',
  startedAt: 1,
  peerAddress: '10.0.0.9:7000',
  region: 'r',
  failureDomain: 'd',
  isStopping: false,
  instance: {
    instance: 'i-odd', startedAt: 1, service: 'ledger', slots: 4, state: 'ready', coldUntil: 0,
  },
};

const nested = `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`;
const withField = (field: string, json: string) => JSON.stringify(soundEntry).replace(
  new RegExp(`"${field}":("[^"]*"|[\\d.]+)`, 'u'),
  `"${field}":${json}`,
);

/** Values that another writer may leave under the key of a node. */
const oddValues: Readonly<Record<string, string>> = {
  'nested deeply': nested,
  'nested deeply in a field': withField('region', nested),
  'an unknown field nested deeply': `{"x":${nested},${JSON.stringify(soundEntry).slice(1)}`
    .replace('"slots":4', '"slots":0'),
  'a port out of range': withField('peerAddress', '"10.0.0.9:70000"'),
  'a port of 0': withField('peerAddress', '"10.0.0.9:0"'),
  'no port': withField('peerAddress', '"10.0.0.9"'),
  'an address that is none': withField('peerAddress', '"10.0.0.999:7000"'),
  'an address with a path': withField('peerAddress', '"10.0.0.9:7000/x"'),
  'an address with a user': withField('peerAddress', '"a@10.0.0.9:7000"'),
  'a start beyond all times': withField('startedAt', '1e300'),
  'an infinite start': withField('startedAt', '1e999'),
  'a negative start': withField('startedAt', '-1'),
  'more slots than any host': withField('slots', '9007199254740991'),
  'more slots than an integer': withField('slots', '1e30'),
  'half a slot': withField('slots', '0.5'),
  'no slots': withField('slots', '0'),
  'a long name': withField('service', `"${'x'.repeat(5000)}"`),
  'a megabyte of text': withField('region', `"${'x'.repeat(1_048_576)}"`),
  'no object': '17',
  nothing: '',
};

const startView = async (maxValueLength?: (key: string) => number) => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const stopping = new AbortController();
  const view = createStoreView({
    clock, store, prefix: KEY_PREFIX, logger: noopLogger, maxValueLength,
  });
  const unreadable: string[] = [];
  const fleet = createFleetView({ clock, view, onUnreadable: (key) => unreadable.push(key) });
  view.follow(stopping.signal);
  await clock.advance(200);
  return {
    clock,
    view,
    fleet,
    unreadable,
    write: async (key: string, value: string) => {
      await store.transact({ expect: [], puts: [{ key, value }] });
      await clock.advance(500);
    },
    stop: () => stopping.abort(),
  };
};

// Processes ended, or followed the list no more, after another writer had left one odd entry.
for (const [name, value] of Object.entries(oddValues)) {
  test(`an entry with ${name} is left out and the others are followed on`, async () => {
    const {
      fleet, unreadable, write, stop,
    } = await startView();
    await write(nodeKey('host-00'), value);
    assert.equal([...fleet.present().keys()], []);
    assert.equal(unreadable, [nodeKey('host-00')]);
    assert.is(fleet.unusableCount(), 1);
    const sound = { ...soundEntry, node: 'host-01' };
    await write(nodeKey('host-01'), JSON.stringify(sound));
    assert.equal([...fleet.present().keys()], ['host-01']);
    assert.is(unreadable.length, 1);
    stop();
  });
}

// An entry under another key took the place of the live node that it named.
test('an entry that names another node than its key is left out', async () => {
  const { fleet, write, stop } = await startView();
  await write(nodeKey('host-01'), JSON.stringify({ ...soundEntry, node: 'host-01' }));
  await write(nodeKey('a-copy'), JSON.stringify({
    ...soundEntry, node: 'host-01', peerAddress: '10.0.0.66:1',
  }));
  assert.is(fleet.present().size, 1);
  assert.is(fleet.present().get('host-01')?.peerAddress, '10.0.0.9:7000');
  stop();
});

test('the value of a long entry is not kept in memory, and its node is followed on', async () => {
  const { view, write, stop } = await startView((key) => (
    key.startsWith(RANGES_PREFIX) ? Infinity : MAX_ENTRY_LENGTH
  ));
  await write(nodeKey('host-01'), 'x'.repeat(1_048_576));
  assert.is(view.get(nodeKey('host-01'))?.value, '');
  await write(rangesKey('ledger'), 'x'.repeat(100_000));
  assert.is(view.get(rangesKey('ledger'))?.value.length, 100_000);
  stop();
});

test('ten thousand odd entries do not slow down the changes of the others', async () => {
  const { fleet, write, stop } = await startView();
  for (let index = 0; index < 10_000; index += 100) {
    await Promise.all(Array.from({ length: 100 }, (_, offset) => (
      write(nodeKey(`odd-${index + offset}`), nested.slice(0, 40))
    )));
  }
  assert.is(fleet.unusableCount(), 10_000);
  const startedAt = performance.now();
  await write(nodeKey('host-01'), JSON.stringify({ ...soundEntry, node: 'host-01' }));
  assert.is(fleet.present().size, 1);
  assert.ok(performance.now() - startedAt < 500);
  stop();
});

// The listener of one part threw, and the view was never updated again.
test('a part that fails at a change does not stop the view', async () => {
  const { view, write, stop } = await startView();
  view.onChange(() => {
    throw new Error('cannot handle this change');
  });
  const seen: string[] = [];
  view.onChange(({ keys }) => seen.push(...keys));
  await write(nodeKey('a'), '1');
  await write(nodeKey('b'), '2');
  assert.equal(seen, [nodeKey('a'), nodeKey('b')]);
  stop();
});

test('odd entries change nothing for the owners of keys', async () => {
  const cluster = createTestCluster(3);
  for (const [index, value] of Object.values(oddValues).entries()) {
    await cluster.store.transact({
      expect: [], puts: [{ key: nodeKey(`a-${index}`), value }],
    });
  }
  await cluster.store.transact({ expect: [], puts: [{ key: `${KEY_PREFIX}odd`, value: nested }] });
  await cluster.store.transact({ expect: [], puts: [{ key: rangesKey('other'), value: nested }] });
  await cluster.run(8000);
  assert.is(cluster.heldFraction(), 1);
  cluster.hosts[1]!.killInstance();
  await cluster.run(4500);
  assert.is(cluster.heldFraction(), 1);
  cluster.stop();
});

// An entry of another writer counted as proof that a node whose entry was missing was lost.
for (const service of ['not-named', undefined]) {
  test(`an entry with ${service ?? 'no'} service proves no node at its address lost`, async () => {
    const cluster = createTestCluster(3);
    await cluster.run(6000);
    const [host] = cluster.hosts;
    host!.setStorePartitioned(true);
    const odd: NodeEntry = {
      ...soundEntry,
      node: 'host-9',
      peerAddress: `${host!.node}:2`,
      startedAt: cluster.clock.wallTime(),
      instance: service === undefined ? undefined : { ...soundEntry.instance!, service },
    };
    await cluster.store.transact({
      expect: [],
      puts: [{ key: nodeKey(odd.node), value: JSON.stringify(odd) }],
      removals: [nodeKey(host!.node)],
    });
    // The cluster checks that no two instances hold the same key.
    await cluster.run(4000);
    assert.ok(host!.instance().held().length > 0);
    cluster.stop();
  });
}

const decoders: Readonly<Record<string, (text: string) => unknown>> = {
  'node entry': decodeNodeEntry,
  'range record': decodeRecord,
  contract: decodeContract,
  announcement: (text) => decodeAnnouncement('i-1', text),
  'load report': decodeLoadReport,
  'relayed changes': (text) => {
    try {
      return decodeChanges(text);
    } catch (error) {
      // The caller of the relay counts this as a failed relay.
      return error;
    }
  },
};

const seeds: Readonly<Record<string, string>> = {
  'node entry': JSON.stringify(soundEntry),
  'range record': '{"nextToken":2,"owners":[["n","i",1]],"rows":[[0,65535,1,0,-1,""]]}',
  contract: '{"version":1,"resources":[]}',
  announcement: '{"address":"10.0.0.1:1","born":1,"info":{"service":"s","slots":1},'
    + '"status":{"state":"ready","sequence":1,"cold_remaining":"0ms"},"holds":[[0,1,2]]}',
  'load report': '{"capacity":1,"cells":[{"from":0,"to":1,"rate":1}]}',
  'relayed changes': `{"at":1,"events":[["${KEY_PREFIX}a",1,null]]}`,
};

const oddParts = fc.oneof(
  fc.constantFrom('1e999', '-1', '0.5', '9007199254740993', 'null', '{}', '[]', '"x"', 'true'),
  fc.jsonValue().map((value) => JSON.stringify(value)),
  fc.constant(nested.slice(0, 5000)),
);

for (const [name, decode] of Object.entries(decoders)) {
  test(`${name}: no text makes the decoder throw`, () => {
    const seed = seeds[name]!;
    const numbersAndTexts = /(?<=[:[,])("[^"]*"|\d+)/gu;
    const places = [...seed.matchAll(numbersAndTexts)];
    fc.assert(fc.property(fc.nat(places.length - 1), oddParts, (place, part) => {
      const { 0: found, index } = places[place]!;
      decode(seed.slice(0, index) + part + seed.slice(index + found.length));
    }), { seed: SEED, numRuns: RUNS });
    fc.assert(fc.property(fc.string(), (text) => {
      decode(text);
    }), { seed: SEED, numRuns: RUNS });
    assert.ok(decode(nested) === undefined || typeof decode(nested) === 'object');
  });
}

test('an announcement with an address that is none is rejected', () => {
  const valid = seeds.announcement!;
  assert.ok(decodeAnnouncement('i-1', valid) !== undefined);
  for (const address of ['10.0.0.1:70000', '10.0.0.1', 'x y:1', '10.0.0.1:-1']) {
    assert.is(decodeAnnouncement('i-1', valid.replace('10.0.0.1:1', address)), undefined);
  }
  assert.is(decodeAnnouncement('i-1', valid.replace('"slots":1', '"slots":1e15')), undefined);
});

test.run();
