import {
  type Account, leastUsed, type LoadPicture, loadOf, openAccounts,
} from './_accounts.ts';
import type { RangeAssignment } from './change_record.ts';
import { keyCount, type KeyRange } from './key_range.ts';
import type { RangeRecord } from './range_record.ts';

/** Length of the part of `row` that brings `account` up to the use `target`. */
const lengthToFill = (row: KeyRange, account: Account, target: number, load: number) => {
  const room = target * account.candidate.capacity - account.load;
  if (load <= room) return keyCount(row);
  return Math.max(1, Math.floor((keyCount(row) * Math.max(0, room)) / load));
};

/**
 * Chooses owners for the keys without one: each candidate is filled up to the use that all would
 * have if load were divided by capacity.
 *
 * Answers the loss of an instance and the first start of a fleet.
 *
 * @param record The record.
 * @param picture Candidates and measured load.
 * @returns Keys and their owners; empty without candidates.
 *
 * @example
 * const next = assignRanges(record, planAssignments(record, { candidates, cells: [] }));
 */
export const planAssignments = (
  record: RangeRecord,
  picture: LoadPicture,
): readonly RangeAssignment[] => {
  const accounts = openAccounts(record, picture);
  const free = record.rows.filter(({ owner }) => owner === undefined);
  const all = [...accounts.values()];
  if (all.length === 0 || free.length === 0) return [];
  const total = all.reduce((sum, { load }) => sum + load, 0)
    + free.reduce((sum, row) => sum + loadOf(row, picture.cells), 0);
  const target = total / all.reduce((sum, { candidate }) => sum + candidate.capacity, 0);
  const assignments: RangeAssignment[] = [];
  for (const row of free) {
    let { from } = row;
    while (from <= row.to) {
      const rest = { from, to: row.to };
      const account = leastUsed(all)!;
      const length = lengthToFill(rest, account, target, loadOf(rest, picture.cells));
      // A last part of a few keys is not worth a row of its own.
      const to = row.to - (from + length - 1) < keyCount(row) / 64 ? row.to : from + length - 1;
      const part = { from, to };
      account.load += loadOf(part, picture.cells);
      assignments.push({ ...part, owner: account.candidate.owner });
      from = to + 1;
    }
  }
  return assignments;
};
