import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { OwnerId, Placements, SlotState } from '../placement/mod.ts';
import type { Logger, Metrics } from '../telemetry/mod.ts';

/** Dependencies that the background tasks of one owner share. */
export interface OwnerContext {
  readonly clock: Clock;
  readonly placements: Placements;
  readonly service: string;
  readonly ownerId: OwnerId;
  readonly random: RandomGenerator;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** True when the leases of all former owners of the slot or hot key have ended. */
  readonly havePredecessorsEnded: (state: SlotState) => boolean;
  /** True when the lease of a removed owner has ended and can't be renewed. */
  readonly hasLeaseEnded: (predecessor: OwnerId) => boolean;
}
