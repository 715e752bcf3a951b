import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { beginTakeover } from '../placement/mod.ts';
import type { ControlBody, ControlKind, ControlValue } from '../proto/mod.ts';
import { createCluster, SERVICE } from './_test_cluster.ts';

/** Sends messages about the owner n1 to its first witness, from n0. */
const createFixture = async () => {
  const cluster = await createCluster();
  const owner = cluster.at('n1').id;
  const witness = cluster.at('n2').id;
  const named = { service: SERVICE, owner, witness };

  const send = async <K extends ControlKind>(
    body: ControlBody,
    kind: K,
  ): Promise<ControlValue<K>> => {
    const pending = cluster.at('n0').transport.request('n2', body, { timeoutMs: 100 });
    await cluster.advance(20);
    const answer = (await pending).unwrapOr(undefined);
    if (answer?.$case !== kind) throw new Error(`no reply of kind ${kind}`);
    return answer.value as ControlValue<K>;
  };

  const renew = () => send({ $case: 'renew', value: { ...named, unconfirmedMs: 0 } }, 'renewed');
  const fence = (version: number) => (
    send({ $case: 'fence', value: { ...named, version } }, 'fenced')
  );
  return {
    cluster, owner, renew, fence,
  };
};

test('a witness does not fence an owner that no record marks as removed', async () => {
  const { cluster, fence, renew } = await createFixture();
  const version = cluster.record()?.version ?? 0;
  assert.not((await fence(version)).accepted);
  assert.not((await fence(version + 1)).accepted);
  assert.ok((await renew()).granted);
});

test('a witness reads the record version of a fence and refuses later renewals', async () => {
  const {
    cluster, owner, fence, renew,
  } = await createFixture();
  for (const node of ['n0', 'n1', 'n3', 'n4']) cluster.setCut(node, 'n2');
  const removed = await cluster.update('n0', (record) => record && beginTakeover(record, owner));
  cluster.healAll();
  const version = removed.unwrapOr(undefined)?.version ?? 0;
  assert.ok((cluster.at('n2').placements.current(SERVICE)?.version ?? 0) < version);
  const reply = await fence(version);
  assert.ok(reply.accepted);
  assert.ok(reply.lastRenewalAgeMs <= 300, 'age of the last renewal');
  assert.not((await renew()).granted);
});

test('a restarted process accepts a fence for its former incarnation', async () => {
  const { cluster, fence, renew } = await createFixture();
  cluster.kill('n2');
  cluster.start('n2');
  await cluster.advance(100);
  const reply = await fence(1);
  assert.ok(reply.accepted && reply.formerIncarnation);
  assert.ok(reply.lastRenewalAgeMs >= 100 && reply.lastRenewalAgeMs <= 130);
  assert.not((await renew()).granted);
});

test.run();
