import { err } from 'neverthrow';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import { createMemoryStore, type Store } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  addOwner, createPlacements, createRecord, encodeRecord, type PlacementChange,
} from './mod.ts';
import { createTestOwner } from './_test_owners.ts';
import { createTestRelay } from './_test_relay.ts';

const SEED = 7;
const KEY = 'placement/s';

const add = (number: number): PlacementChange => (record) => (
  addOwner(record ?? createRecord('s', 8), createTestOwner(number)));

/** Adds one more owner each time it is applied; not idempotent, unlike the real changes. */
const addAnother: PlacementChange = (record) => add(record?.owners.length ?? 0)(record);

const setUp = (wrap: (store: Store) => Store = (store) => store) => {
  const clock = createFakeClock();
  const store = createMemoryStore(clock);
  const relay = createTestRelay();
  let writes = 0;
  const createNode = (nodeRelay = relay) => createPlacements({
    store: wrap(store),
    relay: nodeRelay,
    clock,
    logger: noopLogger,
    random: xoroshiro128plus(SEED),
    createWriterId: () => {
      writes += 1;
      return `write-${writes}`;
    },
  });
  return {
    clock, store, relay, createNode,
  };
};

test('loses no update when several nodes write concurrently', async () => {
  const { clock, store, createNode } = setUp();
  store.setDelay(3);
  const nodes = [0, 1, 2, 3].map(() => createNode(createTestRelay()));
  const updates = nodes.map((node, index) => node.update('s', add(index)));
  await clock.advance(10_000);
  for (const update of updates) assert.ok((await update).isOk());
  const last = nodes[0]!.update('s', () => undefined);
  await clock.advance(100);
  const record = (await last).unwrapOr(undefined)!;
  assert.is(record.version, 4);
  assert.is(record.owners.length, 4);
});

test('does not apply a change twice after a lost reply', async () => {
  const { clock, store, createNode } = setUp();
  const node = createNode();
  store.loseReplies(1);
  const update = node.update('s', addAnother);
  await clock.advance(1000);
  assert.is((await update).unwrapOr(undefined)?.writer, 'write-1');
  assert.is(store.counters().writes, 1);
  assert.is(node.current('s')?.version, 1);
});

test('writes no second version when a write with a lost reply takes effect late', async () => {
  let delayed: (() => Promise<unknown>) | undefined;
  const { clock, store, createNode } = setUp((base) => ({
    ...base,
    compareAndSwap: async (...call) => {
      if (delayed === undefined) {
        delayed = () => base.compareAndSwap(...call);
        return err(
          new StoreError('unknown', 'the reply was lost', { step: 'test' }),
        );
      }
      await delayed();
      return base.compareAndSwap(...call);
    },
  }));
  const node = createNode();
  const update = node.update('s', addAnother);
  await clock.advance(1000);
  const record = (await update).unwrapOr(undefined);
  assert.is(record?.writer, 'write-1');
  assert.is((await store.get(KEY)).unwrapOr(undefined)?.revision, 1);
});

test('an update fails after 8 attempts and does not hang while the store is down', async () => {
  const { clock, store, createNode } = setUp();
  const node = createNode();
  store.setDown(true);
  const update = node.update('s', add(0));
  await clock.advance(5000);
  assert.ok((await update).isErr());
  assert.is(store.counters().reads, 8);
  store.setDown(false);
  const next = node.update('s', add(0));
  await clock.advance(1000);
  assert.ok((await next).isOk());
});

test('never replaces a record by a lower version', async () => {
  const { clock, relay, createNode } = setUp();
  const node = createNode();
  const versions: (readonly [number, number | undefined])[] = [];
  node.onChange((record, previous) => versions.push([record.version, previous?.version]));
  const first = add(0)(undefined)!;
  const second = add(1)(first)!;
  relay.publish({ key: KEY, revision: 5, value: encodeRecord(second) });
  relay.publish({ key: KEY, revision: 6, value: encodeRecord(first) });
  relay.publish({ key: KEY, revision: 7, value: '{}' });
  assert.equal(versions, [[2, undefined]]);
  assert.is(createNode().current('s'), undefined, 'the newest relay entry is malformed');
  const update = node.update('s', add(2));
  await clock.advance(5000);
  assert.ok((await update).isErr(), 'the store is behind the record known to this node');
  assert.is(node.current('s')?.version, 2);
});

test.run();
