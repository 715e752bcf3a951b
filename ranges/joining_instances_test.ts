import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  assignRanges, emptyRecord, KEY_COUNT, keyCount, type LoadCell, type Owner, ownerKey,
  planAssignments, planMoves, type RangeAssignment, type RangeRecord, type RangeRow, releaseRows,
  requestMoves,
} from './mod.ts';

const test = suite('joining instances');

const ownersOf = (count: number, first = 0): readonly Owner[] => (
  Array.from({ length: count }, (_, index) => (
    { node: `host-${first + index}`, instance: `i-${first + index}`, startedAt: 1 }
  ))
);

const candidatesOf = (owners: readonly Owner[]) => owners.map((owner) => ({ owner, capacity: 60 }));

const startRecord = (owners: readonly Owner[]): RangeRecord => (
  assignRanges(emptyRecord, planAssignments(emptyRecord, {
    candidates: candidatesOf(owners), cells: [],
  }))
);

const keysOf = (moves: readonly RangeAssignment[], owner: Owner) => moves
  .filter((move) => ownerKey(move.owner) === ownerKey(owner))
  .reduce((sum, move) => sum + keyCount(move), 0);

const assertDisjoint = (moves: readonly RangeAssignment[]) => {
  const sorted = [...moves].sort((left, right) => left.from - right.from);
  for (const [index, move] of sorted.entries()) {
    assert.ok(move.from <= move.to);
    assert.ok(index === 0 || sorted[index - 1]!.to < move.from, 'a key moves once');
  }
};

// Each plan served one instance, so that the last of 33 that joined waited for half a minute.
for (const [present, joining] of [[6, 1], [39, 12], [108, 33]] as const) {
  test(`one plan gives keys to all ${joining} that join ${present} owners`, () => {
    const owners = ownersOf(present);
    const joined = ownersOf(joining, present);
    const record = startRecord(owners);
    const moves = planMoves(record, {
      candidates: candidatesOf([...owners, ...joined]), cells: [],
    });
    assertDisjoint(moves);
    const share = KEY_COUNT / (present + joining);
    for (const owner of joined) {
      const keys = keysOf(moves, owner);
      assert.ok(keys > share / 4 && keys <= share + 1, `${owner.node} gets ${keys} of ${share}`);
    }
  });
}

// Hot ranges waited until no instance was without keys.
test('a plan relieves a hot range while instances join', () => {
  const owners = ownersOf(12);
  const joined = ownersOf(3, 12);
  const record = startRecord(owners);
  const hotRow = record.rows[4]!;
  const cells: LoadCell[] = Array.from({ length: 8 }, (_, index) => (
    { from: hotRow.from + index * 4, to: hotRow.from + index * 4 + 3, rate: 20 }
  ));
  const moves = planMoves(record, { candidates: candidatesOf([...owners, ...joined]), cells });
  assertDisjoint(moves);
  for (const owner of joined) assert.ok(keysOf(moves, owner) > 0);
  const hotMoves = moves.filter(({ from, to }) => (
    cells.some((cell) => from <= cell.from && cell.to <= to)
  ));
  assert.ok(hotMoves.length > 0, 'hot cells move in the same plan');
});

test('keys that are moving already are not moved again', () => {
  const owners = ownersOf(4);
  const joined = ownersOf(2, 4);
  const snapshot = { candidates: candidatesOf([...owners, ...joined]), cells: [] };
  const first = planMoves(startRecord(owners), snapshot);
  const requested = requestMoves(startRecord(owners), first);
  assert.equal(planMoves(requested, snapshot), []);
  const isMoving = ({ successor }: RangeRow) => successor !== undefined;
  const released = releaseRows(requested, isMoving, () => true, []);
  for (const owner of joined) {
    assert.ok(released.rows.some((row) => row.owner && ownerKey(row.owner) === ownerKey(owner)));
  }
});

test.run();
