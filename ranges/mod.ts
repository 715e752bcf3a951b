/** Key-range ownership: the stored record, grants, load measurement and move planning. */
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
  confirmRecord, isNewerRecord, stampRecord, suspendMoves,
} from './record_eras.ts';
export { createEraRight, type EraRight } from './era_right.ts';
export {
  createGrantTracker,
  type GrantInputs,
  type GrantTracker,
  type GrantTrackerOptions,
  type GrantOutcome,
} from './grant_tracker.ts';
export { createKeyLoad, type KeyLoad, type LoadCell } from './key_load.ts';
export {
  KEY_COUNT, keyCount, type KeyRange, overlaps,
} from './key_range.ts';
export type { Candidate, LoadSnapshot } from './_candidate_usage.ts';
export { planMoves } from './plan_moves.ts';
export { type ClassWork, estimateCapacities, type InstanceWork } from './estimate_capacities.ts';
export { planAssignments } from './plan_assignments.ts';
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
  createRightToGrant, RIGHT_TO_GRANT_MS, type RightToGrant, type ClockReading,
} from './right_to_grant.ts';
