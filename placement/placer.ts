import type { Result } from 'neverthrow';
import type { ServiceDefinition } from '../contract/mod.ts';
import type { StepError } from '../errors/mod.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';

/** The local instance that is to own slots. */
export interface JoiningInstance {
  readonly instance: string;
  /** Relative capacity. */
  readonly weight: number;
}

/** Options of a drain. */
export interface DrainOptions {
  /** Ends the wait early; the owners stay leaving. */
  readonly signal?: AbortSignal;
}

/** Decides about placement on behalf of one node. */
export interface Placer {
  /**
   * Adds this node as an owner of the service. When that fails, the placer tries again in each
   * pass until it succeeds. A removed owner never comes back: after a removal the node joins under
   * a new owner identifier.
   */
  readonly join: (
    service: ServiceDefinition,
    instance: JoiningInstance,
  ) => Promise<Result<PlacementRecord, StepError>>;
  /**
   * Marks this node's owners as leaving and moves their slots away. Resolves when they own nothing;
   * fails when the signal aborts before that.
   */
  readonly drain: (options?: DrainOptions) => Promise<Result<void, StepError>>;
  /** Identifier under which this node joined the service last, or would join it now. */
  readonly ownerIdOf: (service: string) => OwnerId;
  /** Takes over from an owner that an operator has confirmed as lost. */
  readonly confirmLost: (
    service: string,
    ownerId: OwnerId,
  ) => Promise<Result<PlacementRecord, StepError>>;
  /** Ends the passes. A drain in progress ends with an error. */
  readonly stop: () => void;
}
