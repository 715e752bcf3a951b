import type { PlacementRecord } from './placement_record.ts';

/** A change of an existing record; `undefined` when nothing differs. */
export type RecordChange = (record: PlacementRecord) => PlacementRecord | undefined;

/**
 * Applies changes one after the other, to be written at once: the result is one version above the
 * record, and so are all tokens that the changes raise.
 *
 * @param record The record to change.
 * @param changes The changes, in order.
 * @returns The changed record, or `undefined` when none of the changes differs.
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
