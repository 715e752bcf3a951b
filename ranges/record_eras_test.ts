import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createStoreEras } from '../store/mod.ts';
import {
  assignRanges, confirmRecord, createEraRight, createRightToGrant, decodeRecord, emptyRecord,
  encodeRecord, isNewerRecord, type Owner, requestMoves, RIGHT_TO_GRANT_MS, stampRecord,
  suspendMoves,
} from './mod.ts';

const test = suite('records of a restored store');

const owner = (name: string): Owner => ({ node: name, instance: `i-${name}`, startedAt: 1 });

const split = assignRanges(assignRanges(emptyRecord, [
  { from: 0, to: 99, owner: owner('a') },
]), [{ from: 100, to: 65_535, owner: owner('b') }]);

// Guards against builds that cannot read the records of a store without eras.
test('a record without eras has the former form', () => {
  assert.equal(Object.keys(JSON.parse(encodeRecord(split))), ['nextToken', 'owners', 'rows']);
  assert.equal(decodeRecord(encodeRecord(split)), split);
  const stamped = stampRecord(split, emptyRecord, 3);
  assert.equal(decodeRecord(encodeRecord(stamped)), stamped);
});

// Guards against the record of a node that was cut off through an era, which counted further.
test('a record of a later era is newer than one with more writes', () => {
  const before = stampRecord(split, { ...emptyRecord, serial: 90 }, 1);
  const later = stampRecord(split, { ...emptyRecord, serial: 4 }, 2);
  assert.is(isNewerRecord(later, before), true);
  assert.is(isNewerRecord(before, later), false);
  assert.is(isNewerRecord(before, before), false);
  assert.is(isNewerRecord(before, split), true);
  assert.is(isNewerRecord(split, undefined), true);
});

// Guards against a token that an instance has seen under a record that nobody remembers.
test('confirming a record keeps owners and renews the tokens that may be outdated', () => {
  const moving = requestMoves(split, [{ from: 0, to: 99, owner: owner('b') }]);
  const confirmed = confirmRecord(moving, 2, ({ node }) => node === 'a');
  assert.equal(confirmed.rows.map((row) => row.owner?.node), ['a', 'b']);
  assert.is(confirmed.rows[0]!.token, split.rows[0]!.token);
  assert.is(confirmed.rows[1]!.token, 2 * 2 ** 32 + 1);
  assert.is(confirmed.nextToken, 2 * 2 ** 32 + 2);
  assert.is(confirmed.era, 2);
  assert.is(suspendMoves(moving).rows[0]!.successor, undefined);
});

// Guards against a node that holds keys on, although it could not write what it knows about them,
// when others take its keys over.
test('the right is not renewed between a rise of the era and the contribution', async () => {
  const clock = createFakeClock();
  const eras = createStoreEras(clock);
  const right = createEraRight(createRightToGrant(clock, RIGHT_TO_GRANT_MS), eras);
  eras.observe(1);
  right.confirm(right.readClocks());
  eras.observe(2);
  await clock.advance(RIGHT_TO_GRANT_MS - 1);
  right.confirm(right.readClocks());
  assert.is(right.remainingMs(), 1);
  right.resume();
  right.confirm(right.readClocks());
  assert.is(right.remainingMs(), RIGHT_TO_GRANT_MS);
});

test.run();
