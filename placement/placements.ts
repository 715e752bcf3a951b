import type { Result } from 'neverthrow';
import type { StepError } from '../errors/mod.ts';
import type { PlacementRecord } from './placement_record.ts';

/** Changes a record; `undefined` means that nothing is to be written. */
export type PlacementChange = (record: PlacementRecord | undefined) => PlacementRecord | undefined;

/** Called after a newer record was accepted. */
export type PlacementListener = (
  record: PlacementRecord,
  previous: PlacementRecord | undefined,
) => void;

/** The placement records that this node knows. A lower version is never accepted. */
export interface Placements {
  readonly current: (service: string) => PlacementRecord | undefined;
  readonly services: () => readonly string[];
  /** Returns a function that removes the listener. */
  readonly onChange: (listener: PlacementListener) => () => void;
  /**
   * Reads the record from the store, applies `change`, and writes the result by compare-and-swap;
   * on a conflict it reads and
   * applies again. The new record is accepted here and announced to peers. A lost reply is settled
   * by reading back.
   */
  readonly update: (
    service: string,
    change: PlacementChange,
  ) => Promise<Result<PlacementRecord | undefined, StepError>>;
}
