import {
  type CandidateUsage, indexCells, leastUtilised, type LoadSnapshot, loadOf, sumUsage,
} from './_candidate_usage.ts';
import type { RangeAssignment } from './change_record.ts';
import { keyCount, type KeyRange } from './key_range.ts';
import type { RangeRecord } from './range_record.ts';

/** Bounds on the number of parts of a row, the smallest of which are added to the last one. */
const MIN_PARTS_OF_ROW = 64;
const PARTS_PER_OWNER = 4;

/** Number of keys of `row` that raise the utilisation of a candidate to `target`; at least 1. */
const keysToFill = (row: KeyRange, usage: CandidateUsage, target: number, load: number) => {
  const headroom = target * usage.candidate.capacity - usage.load;
  if (load <= headroom) return keyCount(row);
  return Math.max(1, Math.floor((keyCount(row) * Math.max(0, headroom)) / load));
};

/**
 * Chooses owners for the keys without one. Each candidate is filled up to the utilisation that all
 * of them would have if the total load were distributed in proportion to capacity.
 *
 * Used after the loss of an instance and at the first start of a fleet.
 *
 * @param record Current record.
 * @param snapshot Candidates and measured load.
 * @returns Ranges and their new owners; empty without candidates or unowned keys.
 *
 * @example
 * const next = assignRanges(record, planAssignments(record, { candidates, cells: [] }));
 */
export const planAssignments = (
  record: RangeRecord,
  snapshot: LoadSnapshot,
): readonly RangeAssignment[] => {
  const cells = indexCells(snapshot.cells);
  const usages = sumUsage(record, snapshot.candidates, cells);
  const unowned = record.rows.filter(({ owner }) => owner === undefined);
  const all = [...usages.values()];
  if (all.length === 0 || unowned.length === 0) return [];
  const total = all.reduce((sum, { load }) => sum + load, 0)
    + unowned.reduce((sum, row) => sum + loadOf(row, cells), 0);
  const target = total / all.reduce((sum, { candidate }) => sum + candidate.capacity, 0);
  // A smaller part of a row is not worth a row of its own, unless it is all that an owner gets.
  const partLimit = Math.max(MIN_PARTS_OF_ROW, PARTS_PER_OWNER * all.length);
  const assignments: RangeAssignment[] = [];
  for (const row of unowned) {
    let { from } = row;
    while (from <= row.to) {
      const rest = { from, to: row.to };
      const usage = leastUtilised(all)!;
      const length = keysToFill(rest, usage, target, loadOf(rest, cells));
      const remainder = row.to - (from + length - 1);
      const to = remainder < keyCount(row) / partLimit ? row.to : from + length - 1;
      const part = { from, to };
      usage.load += loadOf(part, cells);
      assignments.push({ ...part, owner: usage.candidate.owner });
      from = to + 1;
    }
  }
  return assignments;
};
