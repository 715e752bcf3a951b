import type { Result } from 'neverthrow';
import type { ServiceDefinition } from '../contract/mod.ts';
import type { StepError } from '../errors/mod.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';

/** The local instance that joins a service as an owner. */
export interface JoiningInstance {
  readonly instance: string;
  /** Relative capacity of the instance. */
  readonly weight: number;
}

/** Options of `Placer.drain`. */
export interface DrainOptions {
  /** Aborts the drain; the owners stay in state `leaving`. */
  readonly signal?: AbortSignal;
}

/** Manages the ownership of one node and updates placement records where it is coordinator. */
export interface Placer {
  /**
   * Adds this node as an owner of the service. If this fails, the placer retries in each pass until
   * it succeeds. A removed owner is never reinstated: after a removal the node joins under a new
   * owner identifier.
   */
  readonly join: (
    service: ServiceDefinition,
    instance: JoiningInstance,
  ) => Promise<Result<PlacementRecord, StepError>>;
  /**
   * Marks this node's owners as leaving and moves their slots and hot keys to other owners.
   * Resolves once they own nothing; fails if the signal aborts first.
   */
  readonly drain: (options?: DrainOptions) => Promise<Result<void, StepError>>;
  /** Returns the identifier under which this node last joined the service, or would join it. */
  readonly ownerIdOf: (service: string) => OwnerId;
  /** Takes over from an owner that an operator has confirmed as lost; fails for fleet members. */
  readonly confirmLost: (
    service: string,
    ownerId: OwnerId,
  ) => Promise<Result<PlacementRecord, StepError>>;
  /** Stops the passes. A drain in progress fails. */
  readonly stop: () => void;
}
