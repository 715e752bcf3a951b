import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import {
  type Announcement, assignRanges, createAbsenceTable, createGrantTracker, createKeyLoad,
  createRightToGrant, emptyRecord, KEY_COUNT, type Owner, type RangeRecord, requestMoves,
} from './mod.ts';

const test = suite('grant tracker and its inputs');

const MAX_HOLD_MS = 10_000;
const owner: Owner = { node: 'host-1', instance: 'i-1', startedAt: 5 };
const other: Owner = { node: 'host-2', instance: 'i-2', startedAt: 5 };

const announcementOf = (changes: Partial<Announcement> = {}): Announcement => ({
  instance: 'i-1',
  startedAt: 5,
  address: '127.0.0.1:1',
  service: 'ledger',
  slots: 4,
  isDraining: false,
  sequence: 1,
  coldMs: 0,
  held: [],
  released: [],
  ...changes,
});

const record: RangeRecord = assignRanges(emptyRecord, [
  { from: 0, to: 999, owner }, { from: 1000, to: KEY_COUNT - 1, owner: other },
]);

const setUp = () => {
  const clock = createFakeClock();
  const grantTracker = createGrantTracker({ clock, node: 'host-1', maxHoldMs: MAX_HOLD_MS });
  const answer = (
    announcement: Announcement,
    known: RangeRecord = record,
    rightMs = MAX_HOLD_MS,
  ) => grantTracker.answer(announcement, {
    record: known, rightMs, isWithdrawn: () => false,
  });
  return { clock, grantTracker, answer };
};

test('only rows owned by this process of the instance are granted', () => {
  const { answer, grantTracker } = setUp();
  const { grants } = answer(announcementOf()).answer;
  assert.equal(grants?.ranges.map(({ from, to }) => [from, to]), [[0, 999]]);
  assert.is(grantTracker.mayServe(5), true);
  assert.is(grantTracker.mayServe(1000), false);
  const restarted = answer(announcementOf({ startedAt: 9 })).answer;
  assert.equal(restarted.grants?.ranges, []);
  assert.is(grantTracker.mayServe(5), false);
});

test('no hold outlasts the right to grant, and no hold is renewed without it', async () => {
  const { clock, answer, grantTracker } = setUp();
  assert.is(answer(announcementOf(), record, 1200).answer.grants?.holdMs, 1200);
  await clock.advance(1300);
  assert.is(grantTracker.mayServe(5), false);
  assert.is(answer(announcementOf({ sequence: 2 }), record, 0).answer.grants, undefined);
});

test('before the store has been read, holds are not renewed and no keys are released', () => {
  const { grantTracker } = setUp();
  const { answer } = grantTracker.answer(announcementOf(), {
    record: undefined, rightMs: MAX_HOLD_MS, isWithdrawn: () => false,
  });
  assert.is(answer.grants, undefined);
});

test('a row counts as released only after an announcement that follows its withdrawal', () => {
  const { answer } = setUp();
  const { token } = (record.rows[0]!);
  const held = [{ from: 0, to: 999, token }];
  answer(announcementOf({ held }));
  const moving = requestMoves(record, [{ from: 0, to: 999, owner: other }]);
  assert.equal(answer(announcementOf({ sequence: 2 }), moving).released, []);
  assert.equal(answer(announcementOf({ sequence: 3, held }), moving).released, []);
  assert.is(answer(announcementOf({ sequence: 4 }), moving).released.length, 1);
});

test('a restarted node assumes a full hold that its previous process granted', async () => {
  const { clock, grantTracker } = setUp();
  await clock.advance(MAX_HOLD_MS);
  assert.ok(grantTracker.remainingHoldMs() > 0);
  await clock.advance(1000);
  assert.is(grantTracker.remainingHoldMs(), 0);
});

test('the right to grant expires by the wall clock if the monotonic clock stops', async () => {
  const clock = createFakeClock();
  let wallOffset = 0;
  const suspended = { ...clock, wallTime: () => clock.wallTime() + wallOffset };
  const right = createRightToGrant(suspended, MAX_HOLD_MS);
  assert.is(right.remainingMs(), 0);
  right.confirm(right.readClocks());
  await clock.advance(2000);
  assert.is(right.remainingMs(), MAX_HOLD_MS - 2000);
  wallOffset = 9000;
  assert.is(right.remainingMs(), 0);
});

test('the right to grant counts from the sending of the confirmed call', async () => {
  const clock = createFakeClock();
  const right = createRightToGrant(clock, MAX_HOLD_MS);
  const sent = right.readClocks();
  await clock.advance(3000);
  right.confirm(sent);
  assert.is(right.remainingMs(), MAX_HOLD_MS - 3000);
});

test('a gap in the view of the store restarts the wait for an absent node', async () => {
  const clock = createFakeClock();
  const absences = createAbsenceTable(clock);
  absences.observe(new Set(['a']), ['a', 'b']);
  await clock.advance(500);
  assert.is(absences.absentMs('b'), 500);
  absences.restart();
  assert.is(absences.absentMs('b'), 0);
  await clock.advance(100);
  absences.observe(new Set(['a', 'b']), ['a', 'b']);
  assert.is(absences.absentMs('b'), 0);
});

test('an entry that appeared and vanished between two observations restarts the wait', async () => {
  const clock = createFakeClock();
  const absences = createAbsenceTable(clock);
  absences.observe(new Set(), ['b']);
  await clock.advance(9000);
  absences.touch('b');
  absences.observe(new Set(), ['b']);
  assert.is(absences.absentMs('b'), 0);
});

test('load cells split a range so that a hot key has a boundary of its own', () => {
  const load = createKeyLoad(createFakeClock());
  for (let index = 0; index < 100; index += 1) load.record(500);
  for (let key = 0; key < 100; key += 1) load.record(key);
  const cells = load.cells([{ from: 0, to: 999 }], 4);
  assert.is(cells.some(({ from, to }) => from === 500 && to === 500)
    || cells.some(({ from, to }) => to === 500 && from > 99), true);
  assert.is(cells[0]?.from, 0);
  assert.is(cells.at(-1)?.to, 999);
});

test.run();
