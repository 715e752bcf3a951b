/** Placement of services: ownership of their slots and hot keys, and the rules that change it. */
export type {
  HotKey, Owner, OwnerId, OwnerState, PlacementRecord, SlotState, WitnessReference,
} from './placement_record.ts';
export type { PlacementChange, PlacementListener, Placements } from './placements.ts';
export {
  addOwner, createRecord, isReferenced, removeOwner, startLeaving,
} from './owner_changes.ts';
export {
  beginTakeover, clearPredecessors, confirmLostOwner, type TakeoverOptions,
} from './takeover.ts';
export {
  completeMoves, type HotKeyMove, type PlannedMove, type SlotMove, moveSource, startMoves,
} from './moves.ts';
export {
  acknowledgeWitnesses,
  chooseWitnesses,
  replaceWitnesses,
  WITNESS_COUNT,
  type WitnessCandidate,
  type WitnessChoiceOptions,
} from './witnesses.ts';
export {
  dropHotKey, MAX_HOT_KEY_BYTES, MAX_HOT_KEYS, setHotKey,
} from './hot_keys.ts';
export { createSlotOfKey, type SlotOfKey } from './slot_of_key.ts';
export { createOwnerId, processIdOf } from './owner_id.ts';
export {
  createLoadReports, LOAD_REPORT_INTERVAL_MS, type LoadReports, type LoadReportsOptions,
} from './load_reports.ts';
export { encodeRecord } from './encode_record.ts';
export { decodeRecord } from './decode_record.ts';
export {
  DEFAULT_HYSTERESIS, DEFAULT_MAX_MOVES, planRebalance, type RebalanceOptions,
} from './plan_rebalance.ts';
export { createHotKeySketch, type HotKeyCount, type HotKeySketch } from './hot_key_sketch.ts';
export {
  COLD_KEY_SHARE,
  HOT_KEY_SHARE,
  OVERLOADED_OWNER_EXCESS,
  type HotKeyPlan,
  type HotKeyPlanOptions,
  type KeyRate,
  planHotKeys,
  type ServiceLoad,
} from './plan_hot_keys.ts';
export {
  createPlacements, type PlacementsOptions, type RunningPlacements,
} from './create_placements.ts';
export { combineChanges, type RecordChange } from './combine_changes.ts';
export { type DrainOptions, type JoiningInstance, type Placer } from './placer.ts';
export { createPlacer, type PlacerOptions } from './create_placer.ts';
