/**
 * Owner leases: renewal at a quorum of witnesses, takeover of failed owners, and the ownership
 * check before each dispatch.
 */
export type {
  GrantRequest, OwnershipRefusal, Ownership, OwnershipPermit, UpstreamGrants,
} from './ownership.ts';
export {
  type AttachOptions, createOwnership, type NodeOwnership, type OwnershipOptions,
} from './create_ownership.ts';
export {
  createLeaseHolder, type LeasePermit, type LeaseHolder, type LeaseHolderOptions,
} from './lease_holder.ts';
export { createTakeover, type Takeover, type TakeoverOptions } from './takeover.ts';
export {
  CLOCK_DRIFT_MARGIN_MS,
  LEASE_DURATION_MS,
  PAUSE_THRESHOLD_MS,
  RENEWAL_INTERVAL_MS,
  TICK_INTERVAL_MS,
} from './timing.ts';
export {
  createWitness, type Witness, type WitnessedOwner, type WitnessOptions,
} from './witness.ts';
