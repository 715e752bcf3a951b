import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  assignRanges, decodeRecord, dropDeadSuccessors, emptyRecord, encodeRecord, findRow, KEY_COUNT,
  type Owner, type RangeRecord, releaseRows, requestMoves,
} from './mod.ts';

const test = suite('range records');

const ownerOf = (node: string): Owner => ({ node, instance: `i-${node}`, startedAt: 1 });
const first = ownerOf('host-1');
const second = ownerOf('host-2');
const isLive = () => true;

const divided = (): RangeRecord => assignRanges(emptyRecord, [
  { from: 0, to: 999, owner: first }, { from: 1000, to: KEY_COUNT - 1, owner: second },
]);

test('a key keeps its owner when keys without one are assigned', () => {
  const record = assignRanges(divided(), [{ from: 0, to: KEY_COUNT - 1, owner: second }]);
  assert.is(findRow(record, 10)?.owner, first);
});

test('the token rises with each change of owner, so that a former owner is refused', () => {
  const record = divided();
  const moved = releaseRows(
    requestMoves(record, [{ from: 100, to: 199, owner: second }]),
    (row) => row.successor !== undefined,
    isLive,
    [],
  );
  assert.is(findRow(moved, 150)?.owner?.node, 'host-2');
  assert.ok(findRow(moved, 150)!.token > findRow(record, 150)!.token);
  assert.is(findRow(moved, 99)?.token, findRow(record, 99)?.token);
});

test('a released row whose successor is gone has no owner', () => {
  const record = requestMoves(divided(), [{ from: 100, to: 199, owner: second }]);
  const released = releaseRows(record, (row) => row.successor !== undefined, () => false, []);
  assert.is(findRow(released, 150)?.owner, undefined);
});

test('a move whose next owner is gone is withdrawn, and the owner keeps its keys', () => {
  const record = requestMoves(divided(), [{ from: 100, to: 199, owner: second }]);
  const dropped = dropDeadSuccessors(record, () => false);
  assert.is(findRow(dropped, 150)?.successor, undefined);
  assert.is(findRow(dropped, 150)?.owner, first);
});

test('a handover goes to the next owner with the released keys', () => {
  const record = requestMoves(divided(), [{ from: 100, to: 199, owner: second }]);
  const moved = releaseRows(record, (row) => row.successor !== undefined, isLive, [
    { from: 100, to: 199, handover: 'abc' },
  ]);
  assert.is(findRow(moved, 150)?.handover, 'abc');
});

test('a record survives encoding', () => {
  const record = requestMoves(divided(), [{ from: 100, to: 199, owner: second }]);
  assert.equal(decodeRecord(encodeRecord(record)), record);
});

test('a record with a gap is not used', () => {
  const record = divided();
  assert.is(decodeRecord(encodeRecord({ ...record, rows: record.rows.slice(1) })), undefined);
  assert.is(decodeRecord('{'), undefined);
});

test.run();
