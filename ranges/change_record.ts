import type { ReleasedRange } from './announcement.ts';
import { type KeyRange, overlaps } from './key_range.ts';
import {
  isSameOwner, type Owner, type RangeRecord, type RangeRow,
} from './range_record.ts';

/** Assignment of a range of keys to an owner. */
export interface RangeAssignment extends KeyRange {
  readonly owner: Owner;
}

/** Splits rows at the boundaries of `range`, so that it consists of whole rows. */
const splitRows = (rows: readonly RangeRow[], range: KeyRange): readonly RangeRow[] => {
  const result: RangeRow[] = [];
  for (const row of rows) {
    if (!overlaps(row, range)) {
      result.push(row);
      continue;
    }
    const from = Math.max(row.from, range.from);
    const to = Math.min(row.to, range.to);
    if (row.from < from) result.push({ ...row, to: from - 1 });
    result.push({ ...row, from, to });
    if (to < row.to) result.push({ ...row, from: to + 1 });
  }
  return result;
};

/** Merges adjacent rows that differ only in their keys, to keep the record small. */
const mergeRows = (rows: readonly RangeRow[]): readonly RangeRow[] => {
  const result: RangeRow[] = [];
  for (const row of rows) {
    const last = result.at(-1);
    const canMerge = last !== undefined
      && last.token === row.token
      && last.handover === '' && row.handover === ''
      && isSameOwner(last.owner, row.owner)
      && isSameOwner(last.successor, row.successor);
    if (canMerge) result[result.length - 1] = { ...last, to: row.to };
    else result.push(row);
  }
  return result;
};

/**
 * Assigns keys without an owner to owners, under a new fencing token. Keys that have an owner are
 * unaffected.
 *
 * @param record Current record.
 * @param assignments Ranges and their new owners.
 * @returns The changed record, or the same object when nothing changed.
 *
 * @example
 * const next = assignRanges(record, [{ from: 0, to: 99, owner }]);
 */
export const assignRanges = (
  record: RangeRecord,
  assignments: readonly RangeAssignment[],
): RangeRecord => {
  const { nextToken } = record;
  let { rows } = record;
  for (const assignment of assignments) {
    rows = splitRows(rows, assignment).map((row) => (
      !overlaps(row, assignment) || row.owner !== undefined ? row : {
        ...row, owner: assignment.owner, successor: undefined, token: nextToken,
      }
    ));
  }
  const changed = rows.some(({ token }) => token === nextToken);
  return changed ? { nextToken: record.nextToken + 1, rows: mergeRows(rows) } : record;
};

/**
 * Marks keys for release to other owners, their successors. Pending moves are unaffected.
 *
 * @param record Current record.
 * @param moves Ranges and their next owners.
 * @returns The changed record, or the same object when nothing changed.
 *
 * @example
 * const next = requestMoves(record, [{ from: 0, to: 99, owner: emptyInstance }]);
 */
export const requestMoves = (
  record: RangeRecord,
  moves: readonly RangeAssignment[],
): RangeRecord => {
  const countMoving = ({ rows }: Pick<RangeRecord, 'rows'>) => (
    rows.filter(({ successor }) => successor !== undefined).length
  );
  let { rows } = record;
  for (const move of moves) {
    rows = splitRows(rows, move).map((row) => {
      const mayMove = overlaps(row, move) && row.owner !== undefined
        && row.successor === undefined && !isSameOwner(row.owner, move.owner);
      return mayMove ? { ...row, successor: move.owner } : row;
    });
  }
  if (countMoving({ rows }) === countMoving(record)) return record;
  return { nextToken: record.nextToken, rows: mergeRows(rows) };
};

/** Returns the handover data of a released range that covers the whole row, or ''. */
const handoverOf = (row: KeyRange, released: readonly ReleasedRange[]) => (
  released.find(({ from, to }) => from <= row.from && to >= row.to)?.handover ?? ''
);

/**
 * Ends the ownership of rows whose holds have ended. A row with a live successor is assigned to it
 * under a new fencing token; any other row has no owner afterwards.
 *
 * @param record Current record.
 * @param isReleased Reports whether the owner of a row no longer holds it.
 * @param isLive Reports whether an owner can take keys.
 * @param released Released ranges with the handover data for their next owners.
 * @returns The changed record, or the same object when nothing changed.
 *
 * @example
 * const next = releaseRows(record, (row) => row.owner?.node === 'lost', isLive, []);
 */
export const releaseRows = (
  record: RangeRecord,
  isReleased: (row: RangeRow) => boolean,
  isLive: (owner: Owner) => boolean,
  released: readonly ReleasedRange[],
): RangeRecord => {
  let changed = false;
  let usesToken = false;
  const rows = record.rows.map((row): RangeRow => {
    if (row.owner === undefined || !isReleased(row)) return row;
    changed = true;
    const handover = handoverOf(row, released);
    const successor = row.successor !== undefined && isLive(row.successor)
      ? row.successor
      : undefined;
    if (successor === undefined) {
      return {
        ...row, owner: undefined, successor: undefined, handover,
      };
    }
    usesToken = true;
    return {
      ...row, owner: successor, successor: undefined, token: record.nextToken, handover,
    };
  });
  if (!changed) return record;
  return { nextToken: record.nextToken + (usesToken ? 1 : 0), rows: mergeRows(rows) };
};

/**
 * Cancels pending moves whose successor can no longer take keys.
 *
 * @param record Current record.
 * @param isLive Reports whether an owner can take keys.
 * @returns The changed record, or the same object when nothing changed.
 *
 * @example
 * const next = dropDeadSuccessors(record, isLive);
 */
export const dropDeadSuccessors = (
  record: RangeRecord,
  isLive: (owner: Owner) => boolean,
): RangeRecord => {
  const isDead = ({ successor }: RangeRow) => successor !== undefined && !isLive(successor);
  if (!record.rows.some(isDead)) return record;
  const rows = record.rows.map((row) => (isDead(row) ? { ...row, successor: undefined } : row));
  return { nextToken: record.nextToken, rows: mergeRows(rows) };
};
