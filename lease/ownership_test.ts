import { ok } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { setHotKey, startMoves } from '../placement/mod.ts';
import { createCluster, SERVICE, SLOT_COUNT } from './_test_cluster.ts';
import type { GrantRequest, UpstreamGrants } from './mod.ts';

type Cluster = Awaited<ReturnType<typeof createCluster>>;

const outcomeAt = (cluster: Cluster, node: string, key: string) => (
  cluster.at(node).ownership.acquire(SERVICE, key).match(() => 'acquired', ({ reason }) => reason)
);

test('a pause between check and dispatch aborts the request and refuses the next one', async () => {
  const cluster = await createCluster();
  const key = cluster.keysOf('n1')[0] ?? '';
  const permit = cluster.hold('n1', key);
  cluster.freeze('n1');
  await cluster.advance(500);
  cluster.resume('n1');
  assert.ok(permit.signal.aborted);
  assert.is(outcomeAt(cluster, 'n1', key), 'lapsed');
  await cluster.advance(500);
  assert.is(outcomeAt(cluster, 'n1', key), 'acquired');
  assert.ok(permit.signal.aborted, 'a permit of an expired lease stays aborted');
});

test('a lease that expires during a pause needs a renewal sent after the pause', async () => {
  const cluster = await createCluster();
  const keys = cluster.keysOf('n1');
  cluster.store.setDown(true);
  cluster.freeze('n1');
  await cluster.advance(1_500);
  cluster.resume('n1');
  for (const key of keys) assert.is(outcomeAt(cluster, 'n1', key), 'lapsed');
  await cluster.advance(500);
  for (const key of keys) assert.is(outcomeAt(cluster, 'n1', key), 'acquired');
});

test('a lease without a majority of witnesses expires and aborts its requests', async () => {
  const cluster = await createCluster();
  cluster.store.setDown(true);
  const permit = cluster.hold('n1', cluster.keysOf('n1')[0] ?? '');
  for (const witness of ['n2', 'n4']) cluster.setCut('n1', witness);
  await cluster.advance(600);
  assert.not(permit.signal.aborted);
  await cluster.advance(310);
  assert.ok(permit.signal.aborted);
});

const createGrantRecorder = () => {
  const calls: string[] = [];
  const record = (call: string) => async ({ instance, slots, hotKeys }: GrantRequest) => {
    calls.push(`${call} ${instance} ${[...slots, ...hotKeys]}`);
    return ok(undefined);
  };
  const grants: UpstreamGrants = { grant: record('grant'), revoke: record('revoke') };
  return { calls, grants };
};

test('a planned move waits for in-flight requests and revokes before it grants', async () => {
  const { calls, grants } = createGrantRecorder();
  const cluster = await createCluster({ grants });
  const key = cluster.keysOf('n1')[0] ?? '';
  const slot = Number(key.slice(1));
  const permit = cluster.hold('n1', key);
  const to = cluster.at('n2').id;
  calls.length = 0;
  const move = { kind: 'slot', slot, to } as const;
  await cluster.update('n0', (record) => record && startMoves(record, [move]));
  await cluster.advance(1_500);
  assert.is(outcomeAt(cluster, 'n1', key), 'moving');
  assert.is(outcomeAt(cluster, 'n2', key), 'not-owner');
  assert.not(permit.signal.aborted);
  assert.equal(calls, []);
  permit.release();
  assert.ok(await cluster.advanceUntilServed(200, [key]) < 200);
  assert.is(outcomeAt(cluster, 'n2', key), 'acquired');
  assert.equal(calls, [`revoke n1-instance ${slot}`, `grant n2-instance ${slot}`]);
});

test('a key that becomes hot moves away only after its in-flight requests have ended', async () => {
  const cluster = await createCluster();
  const key = cluster.keysOf('n1')[0] ?? '';
  const slot = Number(key.slice(1));
  const neighbour = `k${slot + SLOT_COUNT}`;
  const permit = cluster.hold('n1', key);
  const other = cluster.hold('n1', neighbour);
  const to = cluster.at('n2').id;
  await cluster.update('n0', (record) => record && setHotKey(record, key, slot, to));
  await cluster.advance(200);
  assert.is(outcomeAt(cluster, 'n1', key), 'moving');
  permit.release();
  await cluster.advance(200);
  assert.is(outcomeAt(cluster, 'n2', key), 'acquired');
  assert.is(outcomeAt(cluster, 'n1', neighbour), 'acquired');
  assert.not(other.signal.aborted);
});

test('a planned move whose write loses its reply is never served by both owners', async () => {
  const cluster = await createCluster();
  const key = cluster.keysOf('n1')[0] ?? '';
  const move = { kind: 'slot', slot: Number(key.slice(1)), to: cluster.at('n2').id } as const;
  await cluster.update('n0', (record) => record && startMoves(record, [move]));
  cluster.store.loseReplies(1);
  assert.ok(await cluster.advanceUntilServed(2_000, [key]) < 2_000);
  assert.is(outcomeAt(cluster, 'n2', key), 'acquired');
});

test('the slots of an owner that dies during a planned move are taken over', async () => {
  const cluster = await createCluster();
  const key = cluster.keysOf('n1')[0] ?? '';
  cluster.hold('n1', key);
  const move = { kind: 'slot', slot: Number(key.slice(1)), to: cluster.at('n2').id } as const;
  await cluster.update('n0', (record) => record && startMoves(record, [move]));
  cluster.kill('n1');
  assert.ok(await cluster.advanceUntilServed(2_000) < 2_000);
});

test.run();
