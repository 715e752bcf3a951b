import type { Result } from 'neverthrow';
import type { StepError } from '../errors/mod.ts';
import type { PlacementRecord } from './placement_record.ts';

/**
 * Returns the changed record, or `undefined` when nothing needs to be written. The record is
 * `undefined` when the store has none for the service.
 */
export type PlacementChange = (record: PlacementRecord | undefined) => PlacementRecord | undefined;

/** Called after a newer record has replaced the known one. */
export type PlacementListener = (
  record: PlacementRecord,
  previous: PlacementRecord | undefined,
) => void;

/** Placement records known to this node. A record is never replaced by a lower version. */
export interface Placements {
  /** Returns the newest known record of a service. */
  readonly current: (service: string) => PlacementRecord | undefined;
  /** Returns the names of all services with a known record, sorted. */
  readonly services: () => readonly string[];
  /** Adds a listener and returns a function that removes it. */
  readonly onChange: (listener: PlacementListener) => () => void;
  /**
   * Applies `change` to the record and writes the result to the store by compare-and-swap. On a
   * conflict it reads the record and applies `change` again. The new record replaces the known one
   * and is published to peers. After a lost reply it reads the record back to find out whether the
   * write took effect.
   */
  readonly update: (
    service: string,
    change: PlacementChange,
  ) => Promise<Result<PlacementRecord | undefined, StepError>>;
}
