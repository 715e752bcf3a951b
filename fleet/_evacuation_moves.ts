import {
  type LoadSnapshot, type Owner, planAssignments, type RangeRecord, type RangeRow, requestMoves,
} from '../ranges/mod.ts';

/**
 * Plans next owners for all keys whose owner is in an evacuated failure domain, in one change of
 * the record. Pending moves are unaffected.
 *
 * @param record Current record.
 * @param snapshot Load of all owners, the evacuated ones included, so that their busy keys do not
 *   meet at one next owner.
 * @param isEvacuated Reports whether an owner is in an evacuated failure domain.
 * @returns The changed record, or the same object if no key has to move or none can.
 *
 * @example
 * const next = requestEvacuationMoves(record, loadSnapshotOf(allOwners), isEvacuated);
 */
export const requestEvacuationMoves = (
  record: RangeRecord,
  { candidates, cells }: LoadSnapshot,
  isEvacuated: (owner: Owner) => boolean,
): RangeRecord => {
  const mustMove = ({ owner, successor }: RangeRow) => (
    owner !== undefined && successor === undefined && isEvacuated(owner)
  );
  // Keys that have no owner are assigned by another plan, under the same load.
  const rows = record.rows.map((row) => (mustMove(row) ? { ...row, owner: undefined } : row));
  const next = planAssignments({ ...record, rows }, {
    cells, candidates: candidates.filter(({ owner }) => !isEvacuated(owner)),
  });
  return requestMoves(record, next);
};
