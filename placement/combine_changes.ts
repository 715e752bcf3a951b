import type { PlacementRecord } from './placement_record.ts';

/** Returns the changed record, or `undefined` when the change has no effect. */
export type RecordChange = (record: PlacementRecord) => PlacementRecord | undefined;

/**
 * Applies changes in sequence as a single write. The version of the result is one above that of the
 * record, and so are all fencing tokens that the changes raise.
 *
 * @param record The record to change.
 * @param changes The changes, in order of application.
 * @returns The changed record, or `undefined` when none of the changes has an effect.
 *
 * @example
 * const changed = combineChanges(record, [
 *   (current) => startLeaving(current, ownerId),
 *   (current) => startMoves(current, planRebalance(current)),
 * ]);
 */
export const combineChanges = (
  record: PlacementRecord,
  changes: Iterable<RecordChange>,
): PlacementRecord | undefined => {
  let combined: PlacementRecord | undefined;
  for (const change of changes) {
    combined = change({ ...(combined ?? record), version: record.version }) ?? combined;
  }
  return combined;
};
