import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { EntryListener, Relay } from '../relay/mod.ts';
import { createMemoryStore, type StoreEntry } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { ContractConflict, createContracts } from './mod.ts';

const text = readFileSync(new URL('../samples/contracts/djerid.json', import.meta.url), 'utf8');
const changed = text.replace('"share": 1', '"share": 2');

const createFakeRelay = (): Relay => {
  const listeners = new Set<EntryListener>();
  return {
    current: () => undefined,
    list: () => [],
    publish: (entry) => {
      for (const listener of listeners) listener(entry);
    },
    onChange: (_, listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    stop: async () => undefined,
  };
};

const setUp = () => {
  const store = createMemoryStore(createFakeClock());
  const relay = createFakeRelay();
  return { store, relay, contracts: createContracts({ store, relay, logger: noopLogger }) };
};

test('of two updates of one revision one is applied, the other gets the differences', async () => {
  const { contracts } = setUp();
  const first = (await contracts.apply(text, 0, 'djerid'))._unsafeUnwrap();
  const results = await Promise.all([
    contracts.apply(changed, first.revision, 'djerid'),
    contracts.apply(text.replace('"share": 1', '"share": 3'), first.revision, 'djerid'),
  ]);
  assert.is(results.filter((result) => result.isOk()).length, 1);
  const loser = results.find((result) => result.isErr())?._unsafeUnwrapErr();
  assert.instance(loser, ContractConflict);
  assert.equal((loser as ContractConflict).differences.map(({ field }) => field), ['share']);
});

test('a write whose reply was lost is recognized by its writer id and applied once', async () => {
  const { contracts, store } = setUp();
  store.loseReplies(1);
  const applied = (await contracts.apply(text, 0, 'djerid'))._unsafeUnwrap();
  const entry = (await store.get('contracts/djerid'))._unsafeUnwrap();
  assert.is(entry?.revision, applied.revision);
  assert.is(store.counters().writes, 1);
});

test('a late older entry does not replace the active contract', async () => {
  const { contracts, store, relay } = setUp();
  const first = (await contracts.apply(text, 0, 'djerid'))._unsafeUnwrap();
  const late = (await store.get('contracts/djerid'))._unsafeUnwrap() as StoreEntry;
  await contracts.apply(changed, first.revision, 'djerid');
  relay.publish(late);
  assert.is(contracts.find('djerid')?.contract.share, 2);
});

test('an invalid stored contract does not replace the active one', async () => {
  const { contracts, relay } = setUp();
  const first = (await contracts.apply(text, 0, 'djerid'))._unsafeUnwrap();
  relay.publish({ key: 'contracts/djerid', revision: first.revision + 1, value: '{"contract":1}' });
  assert.is(contracts.find('djerid')?.revision, first.revision);
});

test('a contract that names another customer is rejected', async () => {
  const { contracts } = setUp();
  const refused = (await contracts.apply(text, 0, 'other'))._unsafeUnwrapErr();
  assert.match(refused.message, /customer/);
});

test.run();
