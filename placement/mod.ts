/** Placement: who owns each slot and hot key of a service, and the decisions that change it. */
export type {
  HotKey, Owner, OwnerId, OwnerState, PlacementRecord, SlotState, WitnessReference,
} from './placement_record.ts';
export type { PlacementChange, PlacementListener, Placements } from './placements.ts';
