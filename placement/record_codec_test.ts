import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  beginTakeover,
  createSlotOfKey,
  decodeRecord,
  encodeRecord,
  type PlacementRecord,
  setHotKey,
  startMoves,
} from './mod.ts';
import { createTestOwner, createTestRecord } from './_test_owners.ts';

const SEED = 20_262;
const UUID = '6f1c2a52-0f4b-4c63-9a5e-2f8f5f0c4f11';

const witness = (value: number) => ({
  id: `node-${value}#${UUID}`, controlAddress: `10.20.30.${value}:7102`, failureDomain: 'zone-a',
});

const decode = (text: string): PlacementRecord => {
  const decoded = decodeRecord(text);
  if (decoded.isErr()) throw decoded.error;
  return decoded.value;
};

/** Creates a record of the size planned for two years; a distinct token per slot is worst case. */
const largeRecord = (): PlacementRecord => {
  const owners = Array.from({ length: 510 }, (_, value) => createTestOwner(value, {
    id: `node-${value}#${UUID}`,
    node: `node-${value}`,
    incarnation: UUID,
    instance: `channel-archive-${value}`,
    controlAddress: `10.20.30.${value}:7102`,
    peerAddress: `10.20.30.${value}:7101`,
    witnesses: [1, 2, 3].map((step) => witness((value + step * 7) % 510)),
  }));
  const record = createTestRecord(32_768, owners);
  const slots = record.slots.map((state, slot) => ({ ...state, token: 900_000 + slot }));
  return { ...record, version: 940_000, slots };
};

test('a record of the size planned for two years does not outgrow the store', () => {
  const record = largeRecord();
  const text = encodeRecord(record);
  assert.ok(Buffer.byteLength(text) < 700_000, `${Buffer.byteLength(text)} bytes`);
  assert.equal(decode(text), record);
});

test('slots with equal states share one object after a change and after decoding', () => {
  const owners = [0, 1, 2, 3].map((value) => createTestOwner(value));
  const taken = beginTakeover(createTestRecord(4096, owners), 'n0#a')!;
  assert.is(new Set(taken.slots).size, 6);
  assert.is(new Set(decode(encodeRecord(taken)).slots).size, 6);
});

test('decodes every encoded record to an equal record', () => {
  const ownerId = fc.integer({ min: 0, max: 3 }).map((value) => `n${value}#a`);
  const moves = fc.array(fc.tuple(fc.integer({ min: 0, max: 63 }), ownerId));
  fc.assert(fc.property(moves, ownerId, fc.string(), (planned, lost, key) => {
    const owners = [0, 1, 2, 3].map((value) => createTestOwner(value, {
      witnesses: [witness(value)], previousWitnesses: value === 1 ? [witness(9)] : [],
    }));
    let record = createTestRecord(64, owners);
    const slotMoves = planned.map(([slot, to]) => ({ kind: 'slot', slot, to }) as const);
    record = startMoves(record, slotMoves) ?? record;
    record = setHotKey(record, key, 5, 'n2#a') ?? record;
    record = beginTakeover(record, lost) ?? record;
    assert.equal(decode(encodeRecord(record)), record);
  }), { seed: SEED, numRuns: 200 });
});

test('rejects a damaged record with an error that names the field', () => {
  const good = encodeRecord(createTestRecord(8, [createTestOwner(0), createTestOwner(1)]));
  const faults: readonly (readonly [string, string, string])[] = [
    ['"slotCount":8', '"slotCount":9', 'slotCount'],
    ['"slotCount":8', '"slotCount":16', 'slots'],
    ['"weight":1', '"weight":0', 'owners.0.weight'],
    ['"owner":0', '"owner":7', 'slots.0.owner'],
    ['"ranges":"1:0,', '"ranges":"1:0,0,', 'slots.0.ranges'],
    ['6"}', '6,zz"}', 'slots.0.ranges'],
    ['"witnesses":[]', '"witnesses":[4]', 'witnesses.0'],
    ['"format":1', '"format":1,"extra":1', '(root)'],
    ['{', '[', '(root)'],
  ];
  for (const [from, to, field] of faults) {
    const damaged = good.replace(from, to);
    assert.is.not(damaged, good, `${from} is not in ${good}`);
    const decoded = decodeRecord(damaged, 'placement/s');
    const message = decoded.isErr() ? decoded.error.message : 'accepted';
    assert.ok(message.includes(`(placement/s): ${field}`), `${to}: ${message}`);
  }
});

test('maps keys to slots evenly, and alike on all nodes by the xxHash64 standard', async () => {
  const slotOfKey = await createSlotOfKey();
  assert.is(slotOfKey('gate-17', 1), 0);
  // The specification gives 0xef46db3751d8e999 as the xxHash64 of the empty input.
  assert.is(slotOfKey('', 32_768), 0x6999);
  const counts = new Array<number>(16).fill(0);
  for (let key = 0; key < 16_000; key += 1) {
    const slot = slotOfKey(`key-${key}`, 16);
    counts[slot] = (counts[slot] ?? 0) + 1;
  }
  assert.ok(Math.max(...counts) < 1150 && Math.min(...counts) > 850, counts.join(' '));
});

test.run();
