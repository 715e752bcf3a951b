import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  completeMoves, createHotKeySketch, MAX_HOT_KEYS, planHotKeys, setHotKey,
} from './mod.ts';
import { createTestOwner, createTestRecord } from './_test_owners.ts';

const SEED = 20_264;

test('the sketch misses no frequent key and bounds its exact count', () => {
  const stream = fc.array(fc.integer({ min: 0, max: 30 }), { maxLength: 400, size: 'max' });
  fc.assert(fc.property(stream, fc.integer({ min: 1, max: 12 }), (keys, capacity) => {
    const sketch = createHotKeySketch(capacity);
    const exact = new Map<string, number>();
    for (const key of keys) {
      sketch.add(`${key}`);
      exact.set(`${key}`, (exact.get(`${key}`) ?? 0) + 1);
    }
    const found = new Map(sketch.top(capacity).map((entry) => [entry.key, entry]));
    assert.ok(found.size <= capacity);
    for (const [key, count] of exact) {
      const entry = found.get(key);
      assert.ok(entry !== undefined || count <= keys.length / capacity, `missed ${key}`);
      if (entry === undefined) continue;
      assert.ok(entry.count >= count && entry.count - entry.error <= count, key);
    }
  }), { seed: SEED, numRuns: 300 });
});

test('former hot keys do not hide new ones once the counts are halved', () => {
  const sketch = createHotKeySketch(2);
  for (let request = 0; request < 64; request += 1) sketch.add('old');
  for (let period = 0; period < 7; period += 1) sketch.halve();
  for (let request = 0; request < 3; request += 1) sketch.add('new');
  assert.equal(sketch.top(2), [{ key: 'new', count: 3, error: 0 }]);
  sketch.add('other');
  sketch.add('third');
  assert.equal(sketch.top(2)[1], { key: 'third', count: 2, error: 1 });
});

const owners = [0, 1, 2, 3].map((value) => createTestOwner(value));
const record = createTestRecord(64, owners);
const slot = record.slots.findIndex((state) => state.owner === 'n0#a');

const rates = (first: number, others: number) => new Map(owners.map(({ id }, index) => (
  [id, index === 0 ? first : others + index])));

test('moves a hot key from an overloaded owner to the least loaded one', () => {
  const keyRates = [{ key: 'k', slot, requestsPerSecond: 600 }];
  const plan = planHotKeys(record, { ownerRates: rates(1000, 100), keyRates });
  assert.equal(plan, { set: [{ key: 'k', slot, to: 'n1#a' }], drop: [] });
});

test('no key moves back and forth or only shifts the overload', () => {
  const keyRates = [{ key: 'k', slot, requestsPerSecond: 950 }];
  const plan = planHotKeys(record, { ownerRates: rates(1000, 100), keyRates });
  assert.equal(plan, { set: [], drop: [] });
  const even = planHotKeys(record, { ownerRates: rates(105, 100), keyRates });
  assert.equal(even.set, []);
});

test('drops the entry of a cold key', () => {
  const hot = completeMoves(setHotKey(record, 'k', slot, 'n1#a')!, 'n0#a', [], ['k'])!;
  const load = { ownerRates: rates(100, 100), keyRates: [] };
  assert.equal(planHotKeys(hot, load).drop, ['k']);
  const warm = [{ key: 'k', slot, requestsPerSecond: 9 }];
  assert.equal(planHotKeys(hot, { ...load, keyRates: warm }).drop, []);
});

test('limits hot keys in number and length, so that they do not outgrow the record', () => {
  let full = record;
  for (let key = 0; key < 200; key += 1) full = setHotKey(full, `${key}`, slot, 'n1#a') ?? full;
  assert.is(full.hotKeys.length, MAX_HOT_KEYS);
  assert.is(setHotKey(record, 'é'.repeat(257), slot, 'n1#a'), undefined);
});

test.run();
