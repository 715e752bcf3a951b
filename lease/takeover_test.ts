import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { beginTakeover, replaceWitnesses } from '../placement/mod.ts';
import { createCluster } from './_test_cluster.ts';

const RECOVERY_LIMIT_MS = 2_000;

test('the keys of a killed owner are served by other owners within 2 s', async () => {
  const cluster = await createCluster();
  const keys = cluster.keysOf('n1');
  assert.ok(keys.length > 0);
  cluster.kill('n1');
  assert.ok(keys.every((key) => !cluster.isServed(key)));
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
  await cluster.advance(1_000);
  assert.ok(cluster.record()?.slots.every(({ predecessors }) => predecessors.length === 0));
});

test('an owner that resumes after a freeze serves only under a new incarnation', async () => {
  const cluster = await createCluster();
  const former = cluster.at('n1').holder();
  const permit = cluster.hold('n1', cluster.keysOf('n1')[0] ?? '');
  cluster.freeze('n1');
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
  cluster.resume('n1');
  assert.ok(permit.signal.aborted);
  await cluster.advance(1_000);
  assert.ok(former.isRemoved());
  const current = cluster.at('n1').holder();
  assert.is.not(current.ownerId, former.ownerId);
  assert.ok(current.isValid());
});

test('slots of an owner that dies during a store outage are served after the outage', async () => {
  const cluster = await createCluster();
  const keys = cluster.keysOf('n1');
  const version = cluster.record()?.version;
  cluster.store.setDown(true);
  cluster.kill('n1');
  await cluster.advance(5_000);
  assert.is(cluster.record()?.version, version);
  assert.ok(keys.every((key) => !cluster.isServed(key)));
  cluster.store.setDown(false);
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
});

test('a store outage alone does not interrupt requests', async () => {
  const cluster = await createCluster();
  const permits = ['n0', 'n1', 'n2'].map((node) => (
    cluster.hold(node, cluster.keysOf(node)[0] ?? '')
  ));
  cluster.store.setDown(true);
  await cluster.advance(5_000);
  assert.ok(permits.every(({ signal }) => !signal.aborted));
});

test('a takeover whose write takes effect but loses its reply is completed', async () => {
  const cluster = await createCluster();
  cluster.kill('n1');
  cluster.store.loseReplies(1);
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
});

test('concurrent removals of an owner by several witnesses take effect once', async () => {
  const cluster = await createCluster();
  const before = cluster.store.counters().writes;
  cluster.store.setDelay(150);
  cluster.kill('n1');
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
  assert.ok(cluster.store.counters().writes - before > 1, 'two witnesses wrote');
  const tokens = new Set(cluster.record()?.slots
    .filter(({ predecessors }) => predecessors.some((id) => id.startsWith('n1#')))
    .map(({ token }) => token));
  assert.is(tokens.size, 1);
});

test('an owner keeps its lease while one of its witnesses dies and restarts', async () => {
  const cluster = await createCluster({ nodes: 13 });
  const permit = cluster.hold('n1', cluster.keysOf('n1')[0] ?? '');
  const owner = cluster.at('n1').holder();
  const named = cluster.at('n2').id;
  cluster.kill('n2');
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
  cluster.start('n2');
  await cluster.advance(1_000);
  assert.not(permit.signal.aborted);
  const answer = await Promise.all([cluster.at('n1').transport.request('n2', {
    $case: 'renew',
    value: {
      service: owner.service, owner: owner.ownerId, witness: named, unconfirmedMs: 0,
    },
  }, { timeoutMs: 100 }), cluster.advance(10)]);
  const body = answer[0].unwrapOr(undefined);
  assert.is(body?.$case === 'renewed' && body.value.granted, false);
  permit.release();
  cluster.kill('n1');
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
});

test('a change of witnesses does not interrupt the requests of a live owner', async () => {
  const cluster = await createCluster();
  const { ownerId } = cluster.at('n1').holder();
  const permit = cluster.hold('n1', cluster.keysOf('n1')[0] ?? '');
  const set = cluster.witnessesOf('n3');
  await cluster.update('n0', (record) => record && replaceWitnesses(record, ownerId, set));
  await cluster.advance(600);
  const owner = cluster.record()?.owners.find(({ id }) => id === ownerId);
  assert.equal(owner?.witnesses, set);
  assert.equal(owner?.previousWitnesses, []);
  assert.not(permit.signal.aborted);
});

test('a change to unreachable witnesses is not completed', async () => {
  const cluster = await createCluster({ nodes: 13 });
  const { ownerId } = cluster.at('n1').holder();
  const set = cluster.witnessesOf('n4');
  for (const { controlAddress } of set) cluster.setCut('n1', controlAddress);
  const ownerOf = () => cluster.record()?.owners.find(({ id }) => id === ownerId);
  await cluster.update('n0', (record) => record && replaceWitnesses(record, ownerId, set));
  await cluster.advance(600);
  assert.is(ownerOf()?.previousWitnesses.length, 3);
});

test('a takeover during a change of witnesses needs a majority of both sets', async () => {
  const cluster = await createCluster({ nodes: 13 });
  const { ownerId } = cluster.at('n1').holder();
  const set = cluster.witnessesOf('n4');
  cluster.freeze('n1');
  await cluster.update('n0', (record) => record && replaceWitnesses(record, ownerId, set));
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
  const removed = cluster.record()?.owners.find(({ id }) => id === ownerId);
  assert.is(removed?.state, 'removed');
  assert.is(removed?.previousWitnesses.length, 3);
  cluster.resume('n1');
  await cluster.advance(500);
});

test('the new owner waits for the lease of an owner unaware of its removal', async () => {
  const cluster = await createCluster();
  const ownerId = cluster.at('n1').id;
  const keys = cluster.keysOf('n1');
  cluster.blockRecords('n1');
  await cluster.update('n0', (record) => record && beginTakeover(record, ownerId));
  assert.is(cluster.record()?.owners.find(({ id }) => id === ownerId)?.state, 'removed');
  assert.equal(cluster.keysOf('n1'), keys);
  while (cluster.keysOf('n1').length > 0) await cluster.advance(10);
  assert.ok(await cluster.advanceUntilServed(500) < 500);
});

test('an owner that sees its removal releases its slots at once', async () => {
  const cluster = await createCluster();
  const ownerId = cluster.at('n1').id;
  await cluster.update('n0', (record) => record && beginTakeover(record, ownerId));
  assert.ok(await cluster.advanceUntilServed(100) < 100);
});

test('an owner that sees its removal releases its slots after its requests end', async () => {
  const cluster = await createCluster();
  const ownerId = cluster.at('n1').id;
  const key = cluster.keysOf('n1')[0] ?? '';
  const permit = cluster.hold('n1', key);
  await cluster.update('n0', (record) => record && beginTakeover(record, ownerId));
  await cluster.advance(200);
  assert.ok(permit.signal.aborted);
  assert.not(cluster.isServed(key));
  permit.release();
  assert.ok(await cluster.advanceUntilServed(100) < 100);
});

test('new witnesses alone do not remove an owner that its former witnesses renew', async () => {
  const cluster = await createCluster({ nodes: 13 });
  const ownerId = cluster.at('n1').id;
  const permit = cluster.hold('n1', cluster.keysOf('n1')[0] ?? '');
  cluster.blockRecords('n1');
  const set = cluster.witnessesOf('n4');
  await cluster.update('n0', (record) => record && replaceWitnesses(record, ownerId, set));
  await cluster.advance(3_000);
  assert.is(cluster.record()?.owners.find(({ id }) => id === ownerId)?.state, 'active');
  assert.not(permit.signal.aborted);
});

for (const direction of ['from', 'to'] as const) {
  test(`keys are served again when no message ${direction} the owner arrives`, async () => {
    const cluster = await createCluster();
    const keys = cluster.keysOf('n1');
    for (const other of ['n0', 'n2', 'n3', 'n4']) {
      if (direction === 'from') cluster.setCut('n1', other);
      else cluster.setCut(other, 'n1');
    }
    await cluster.advance(1_000);
    assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS - 1_000, keys) < Infinity);
    assert.equal(cluster.keysOf('n1'), []);
  });
}

test('the next owner waits for all predecessors when the new owner dies too', async () => {
  const cluster = await createCluster({ nodes: 13 });
  const key = cluster.keysOf('n1')[0] ?? '';
  const slot = Number(key.slice(1));
  const former = cluster.record()?.slots[slot]?.owner;
  cluster.kill('n1');
  const stateOf = () => cluster.record()?.slots[slot];
  while (stateOf()?.owner === former) await cluster.advance(10);
  const second = stateOf()?.owner ?? '';
  cluster.kill(second.split('#')[0] ?? '');
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS, [key]) < RECOVERY_LIMIT_MS);
  assert.equal(stateOf()?.predecessors, [former, second]);
});

test('witnesses that die with their owner answer for it after a restart', async () => {
  const cluster = await createCluster({ nodes: 13 });
  const keys = cluster.keysOf('n1');
  for (const node of ['n1', 'n2', 'n4']) cluster.kill(node);
  await cluster.advance(4_000);
  assert.ok(keys.every((key) => !cluster.isServed(key)));
  cluster.start('n2');
  cluster.start('n4');
  assert.ok(await cluster.advanceUntilServed(RECOVERY_LIMIT_MS) < RECOVERY_LIMIT_MS);
});

test('the overlap check fails for an owner that ignores its lease', async () => {
  const ignored = new AbortController().signal;
  const cluster = await createCluster({
    wrapHolder: (holder) => ({
      ...holder, acquire: () => ({ signal: ignored, release: () => undefined }),
    }),
  });
  cluster.freeze('n1');
  await cluster.advance(RECOVERY_LIMIT_MS);
  assert.throws(() => cluster.resume('n1'), /overlap/);
});

test.run();
