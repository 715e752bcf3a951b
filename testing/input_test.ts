import { readFileSync } from 'node:fs';
import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseContract } from '../contract/mod.ts';
import { parseSettings } from '../daemon/mod.ts';
import { createFakeClock } from '../clock/mod.ts';
import { ContractError, SettingsError, StepError } from '../errors/mod.ts';
import { createFakeNetwork } from '../peer/mod.ts';
import {
  addOwner, createRecord, decodeRecord, encodeRecord,
} from '../placement/mod.ts';
import { type ControlBody, Envelope } from '../proto/mod.ts';

const PROPERTY_OPTIONS = { seed: 20_26, numRuns: 300 };

const readSample = (name: string) => (
  readFileSync(new URL(`../samples/${name}`, import.meta.url), 'utf8')
);

const CONTRACT = readSample('contracts/djerid.json');
const SETTINGS = readSample('settings.json');
const WITNESS = { id: 'n2#a', controlAddress: 'n2', failureDomain: 'd2' };
const RECORD = encodeRecord(addOwner(createRecord('s', 4), {
  id: 'n1#a',
  node: 'n1',
  incarnation: 'a',
  instance: 'i1',
  controlAddress: 'n1',
  peerAddress: 'n1',
  region: 'r',
  failureDomain: 'd1',
  weight: 1,
  witnesses: [WITNESS],
  previousWitnesses: [],
  state: 'active',
})!);

type Path = readonly (string | number)[];

/** Returns the paths of all parts of a JSON value, the root first. */
const collectPaths = (value: unknown, path: Path = []): readonly Path[] => {
  if (typeof value !== 'object' || value === null) return [path];
  const children = Object.entries(value).flatMap(([name, child]) => {
    const step = Array.isArray(value) ? Number(name) : name;
    return collectPaths(child, [...path, step]);
  });
  return [path, ...children];
};

const replaceAt = (value: unknown, path: Path, replacement: unknown): unknown => {
  const [first, ...rest] = path;
  if (first === undefined) return replacement;
  if (Array.isArray(value)) {
    return value.map((item, index) => (
      index === first ? replaceAt(item, rest, replacement) : item
    ));
  }
  const object = value as Readonly<Record<string, unknown>>;
  return { ...object, [first]: replaceAt(object[first], rest, replacement) };
};

/** Documents with one part replaced by an arbitrary value; most have one malformed field. */
const mutationsOf = (text: string) => {
  const json = JSON.parse(text) as unknown;
  const path = fc.constantFrom(...collectPaths(json));
  return fc.tuple(path, fc.jsonValue()).map(([place, value]) => (
    JSON.stringify(replaceAt(json, place, value))
  ));
};

const arbitraryText = (text: string) => fc.oneof(
  fc.string(),
  fc.json(),
  mutationsOf(text),
  fc.nat({ max: text.length }).map((length) => text.slice(0, length)),
);

const expectError = (error: StepError, step: string) => {
  assert.is(error.step, step);
  assert.is(error.peer, 'source');
  assert.match(error.message, /: \S/u);
};

test('the parser never throws for a contract, and each error names a field', () => {
  assert.ok(parseContract(CONTRACT).isOk());
  fc.assert(fc.property(arbitraryText(CONTRACT), (text) => {
    const parsed = parseContract(text, 'source');
    if (parsed.isOk()) return;
    expectError(parsed.error, 'contract.parse');
    assert.instance(parsed.error, ContractError);
    assert.ok(parsed.error.field.length > 0);
  }), PROPERTY_OPTIONS);
});

test('the parser never throws for settings, and each error names a field', () => {
  assert.ok(parseSettings(SETTINGS).isOk());
  fc.assert(fc.property(arbitraryText(SETTINGS), (text) => {
    const parsed = parseSettings(text, 'source');
    if (parsed.isOk()) return;
    expectError(parsed.error, 'settings.parse');
    assert.instance(parsed.error, SettingsError);
    assert.ok(parsed.error.field.length > 0);
  }), PROPERTY_OPTIONS);
});

test('the decoder never throws for a placement record or returns an incomplete slot table', () => {
  assert.ok(decodeRecord(RECORD).isOk());
  fc.assert(fc.property(arbitraryText(RECORD), (text) => {
    const decoded = decodeRecord(text, 'source');
    if (decoded.isOk()) assert.is(decoded.value.slots.length, decoded.value.slotCount);
    else expectError(decoded.error, 'placement.decode');
  }), PROPERTY_OPTIONS);
});

test('arbitrary bytes are decoded as an envelope or rejected with an Error', () => {
  const known = Envelope.encode({
    fromNode: 'n1',
    fromIncarnation: 'a',
    id: 4,
    replyTo: 0,
    body: { $case: 'announceVersions', value: { entries: [{ key: 'contracts/a', revision: 2 }] } },
  }).finish();
  const damaged = fc.tuple(
    fc.nat({ max: known.length - 1 }),
    fc.nat({ max: 255 }),
  ).map(([position, byte]) => known.map((old, index) => (index === position ? byte : old)));
  const truncated = fc.nat({ max: known.length }).map((length) => known.slice(0, length));
  fc.assert(fc.property(fc.oneof(fc.uint8Array(), damaged, truncated), (bytes) => {
    try {
      const decoded = Envelope.decode(bytes);
      assert.type(decoded.fromNode, 'string');
      assert.type(decoded.id, 'number');
    } catch (error) {
      assert.instance(error, Error);
    }
  }), PROPERTY_OPTIONS);
});

test('an exception in a handler reaches the sender with the step and the reason', async () => {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const receiver = network.connect('n2', { node: 'n2', incarnation: '1' });
  const sender = network.connect('n1', { node: 'n1', incarnation: '1' });
  receiver.handle('fetch', ({ key }) => {
    throw new Error(`cannot read ${key}`);
  });
  await fc.assert(fc.asyncProperty(fc.string(), async (key) => {
    const body: ControlBody = { $case: 'fetch', value: { key } };
    const pending = sender.request('n2', body, { timeoutMs: 100 });
    await clock.advance(5);
    const error = (await pending)._unsafeUnwrapErr();
    assert.is(error.step, 'peer.fetch');
    assert.ok(error.message.includes('cannot read'));
  }), { ...PROPERTY_OPTIONS, numRuns: 30 });
});

test.run();
