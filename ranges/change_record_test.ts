import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  assignRanges, decodeRecord, dropDeadSuccessors, emptyRecord, encodeRecord, findRow, KEY_COUNT,
  type Owner, type RangeRecord, releaseRows, requestMoves,
} from './mod.ts';

const test = suite('range record changes');

const ownerOf = (node: string): Owner => ({ node, instance: `i-${node}`, startedAt: 1 });
const first = ownerOf('host-1');
const second = ownerOf('host-2');
const isLive = () => true;

const createDivided = (): RangeRecord => assignRanges(emptyRecord, [
  { from: 0, to: 999, owner: first }, { from: 1000, to: KEY_COUNT - 1, owner: second },
]);

test('assignment changes only keys without an owner', () => {
  const record = assignRanges(createDivided(), [{ from: 0, to: KEY_COUNT - 1, owner: second }]);
  assert.is(findRow(record, 10)?.owner, first);
});

test('the token increases with each change of owner, so that a former owner is refused', () => {
  const record = createDivided();
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

test('a released row whose successor is not live has no owner', () => {
  const record = requestMoves(createDivided(), [{ from: 100, to: 199, owner: second }]);
  const released = releaseRows(record, (row) => row.successor !== undefined, () => false, []);
  assert.is(findRow(released, 150)?.owner, undefined);
});

test('a move whose successor is not live is cancelled, and the owner keeps its keys', () => {
  const record = requestMoves(createDivided(), [{ from: 100, to: 199, owner: second }]);
  const dropped = dropDeadSuccessors(record, () => false);
  assert.is(findRow(dropped, 150)?.successor, undefined);
  assert.is(findRow(dropped, 150)?.owner, first);
});

test('handover data passes to the next owner with the released keys', () => {
  const record = requestMoves(createDivided(), [{ from: 100, to: 199, owner: second }]);
  const moved = releaseRows(record, (row) => row.successor !== undefined, isLive, [
    { from: 100, to: 199, handover: 'abc' },
  ]);
  assert.is(findRow(moved, 150)?.handover, 'abc');
});

test('a record round-trips through encoding and decoding', () => {
  const record = requestMoves(createDivided(), [{ from: 100, to: 199, owner: second }]);
  assert.equal(decodeRecord(encodeRecord(record)), record);
});

test('a record with a gap and malformed JSON are rejected', () => {
  const record = createDivided();
  assert.is(decodeRecord(encodeRecord({ ...record, rows: record.rows.slice(1) })), undefined);
  assert.is(decodeRecord('{'), undefined);
});

test.run();
