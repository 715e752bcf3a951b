import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { OwnerId, Placements, SlotState } from '../placement/mod.ts';
import type { Logger, Metrics } from '../telemetry/mod.ts';

/** What the tasks of one owner share. */
export interface OwnerContext {
  readonly clock: Clock;
  readonly placements: Placements;
  readonly service: string;
  readonly ownerId: OwnerId;
  readonly random: RandomGenerator;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** True when all predecessors of the slot or hot key are cleared. */
  readonly isSettled: (state: SlotState) => boolean;
  readonly isCleared: (predecessor: OwnerId) => boolean;
}
