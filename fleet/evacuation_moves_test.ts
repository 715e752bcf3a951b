import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type LoadCell, type Owner, type RangeRecord } from '../ranges/mod.ts';
import { requestEvacuationMoves } from './_evacuation_moves.ts';

const test = suite('moves out of evacuated failure domains');

const OWNERS = 30;
const DOMAINS = 3;
const KEYS = 65_536;
const CAPACITY = 100;

const ownerOf = (index: number): Owner => ({
  node: `host-${String(index).padStart(2, '0')}`, instance: `i-${index}`, startedAt: 1,
});
const owners = Array.from({ length: OWNERS }, (_, index) => ownerOf(index));
const firstKeyOf = (index: number) => Math.floor((index * KEYS) / OWNERS);
const record: RangeRecord = {
  nextToken: 2,
  rows: owners.map((owner, index) => ({
    from: firstKeyOf(index),
    to: firstKeyOf(index + 1) - 1,
    owner,
    successor: undefined,
    token: 1,
    handover: '',
  })),
};
const candidates = owners.map((owner) => ({ owner, capacity: CAPACITY }));
const isInside = (evacuated: readonly number[]) => ({ node }: Owner) => (
  evacuated.includes(Number(node.slice(-2)) % DOMAINS)
);

/** Each owner has twelve cells; the first one of each evacuated owner has half of its load. */
const cells: readonly LoadCell[] = owners.flatMap((_, index) => (
  Array.from({ length: 12 }, (__, cell) => {
    const from = firstKeyOf(index) + cell * 180;
    return { from, to: from + 179, rate: cell === 0 ? 20 : 2 };
  })
));

// The busy keys of ten owners met on a few of the others, which then refused for seconds.
test('the load of ten owners is spread over the twenty outside, in rows of some size', () => {
  const isEvacuated = isInside([0]);
  const next = requestEvacuationMoves(record, { candidates, cells }, isEvacuated);
  const loads = new Map(owners.map(({ node }) => [node, 0]));
  for (const { from, to, rate } of cells) {
    const row = next.rows.find((one) => one.from <= from && one.to >= from)!;
    const { node } = row.successor ?? row.owner!;
    const share = (Math.min(to, row.to) - from + 1) / (to - from + 1);
    loads.set(node, loads.get(node)! + rate * share);
  }
  for (const row of next.rows) {
    assert.is(row.successor !== undefined, isEvacuated(row.owner!));
    assert.ok(row.successor === undefined || !isEvacuated(row.successor));
  }
  const outside = owners.filter((owner) => !isEvacuated(owner)).map(({ node }) => loads.get(node)!);
  const mean = outside.reduce((sum, load) => sum + load, 0) / outside.length;
  assert.ok(Math.max(...outside) < 1.25 * mean, `${Math.max(...outside)} at a mean of ${mean}`);
  assert.ok(next.rows.length <= 2 * OWNERS, `${next.rows.length} rows`);
  assert.is(requestEvacuationMoves(next, { candidates, cells }, isEvacuated), next);
});

test('the keys of two domains go to the third, and with none left they stay', () => {
  const isEvacuated = isInside([0, 1]);
  const next = requestEvacuationMoves(record, { candidates, cells }, isEvacuated);
  for (const { owner, successor } of next.rows) {
    assert.is(Number((successor ?? owner!).node.slice(-2)) % DOMAINS, 2);
  }
  assert.is(requestEvacuationMoves(record, { candidates, cells }, isInside([0, 1, 2])), record);
});

test.run();
