/** Ranges of keys with one owner each: their record, holds, measured load and plans of moves. */
export { type AbsenceTable, createAbsenceTable } from './absence_table.ts';
export type {
  Announcement,
  AnnouncementAnswer,
  GrantedRange,
  Grants,
  HeldRange,
  ReleasedRange,
} from './announcement.ts';
export {
  assignRanges, dropDeadSuccessors, type RangeAssignment, releaseRows, requestMoves,
} from './change_record.ts';
export {
  createGrantLedger,
  type GrantInputs,
  type GrantLedger,
  type GrantLedgerOptions,
  type GrantOutcome,
} from './grant_ledger.ts';
export { createKeyLoad, type KeyLoad, type LoadCell } from './key_load.ts';
export {
  KEY_COUNT, keyCount, type KeyRange, overlaps,
} from './key_range.ts';
export type { Candidate, LoadPicture } from './_accounts.ts';
export { planMoves } from './plan_moves.ts';
export { planAssignments } from './plan_ranges.ts';
export {
  decodeRecord,
  emptyRecord,
  encodeRecord,
  findRow,
  isSameOwner,
  type Owner,
  ownerKey,
  type RangeRecord,
  type RangeRow,
} from './range_record.ts';
export {
  createRightToGrant, RIGHT_TO_GRANT_MS, type RightToGrant, type SendTime,
} from './right_to_grant.ts';
