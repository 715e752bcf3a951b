/** Leases of owners: witnesses, lease holders, takeover, and the check before each dispatch. */
export type {
  GrantRequest, NotOwned, Ownership, OwnershipTicket, UpstreamGrants,
} from './ownership.ts';
export {
  type AttachOptions, createOwnership, type NodeOwnership, type OwnershipOptions,
} from './create_ownership.ts';
export {
  createLeaseHolder, type LeaseHold, type LeaseHolder, type LeaseHolderOptions,
} from './lease_holder.ts';
export { createTakeover, type Takeover, type TakeoverOptions } from './takeover.ts';
export {
  CLOCK_DRIFT_MARGIN_MS,
  LEASE_DURATION_MS,
  PAUSE_BOUND_MS,
  RENEWAL_INTERVAL_MS,
  TICK_INTERVAL_MS,
} from './timing.ts';
export {
  createWitness, type Witness, type WitnessedOwner, type WitnessOptions,
} from './witness.ts';
