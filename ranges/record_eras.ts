import {
  isSameOwner, type Owner, type RangeRecord, type RangeRow,
} from './range_record.ts';

/** Puts the tokens of an era above all earlier ones, even if the record of the highest is lost. */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * Reports whether a record replaces another one: it was confirmed in a later era of the store, or
 * was written later than it in the same line of writes.
 *
 * @example
 * if (isNewerRecord(remembered, stored)) await write(remembered);
 */
export const isNewerRecord = (record: RangeRecord, other: RangeRecord | undefined): boolean => {
  if (other === undefined) return true;
  const byEra = (record.era ?? 0) - (other.era ?? 0);
  return byEra === 0 ? (record.serial ?? 0) > (other.serial ?? 0) : byEra > 0;
};

/** Returns a record as the next write after `before`, in the given era of the store. */
export const stampRecord = (
  record: RangeRecord,
  before: RangeRecord,
  era: number,
): RangeRecord => ({ ...record, era, serial: (before.serial ?? 0) + 1 });

/**
 * Confirms a record for an era, so that it may be planned from. Owners stay. Rows whose owner may
 * not know its highest token get a new one.
 *
 * @param record Newest known record.
 * @param era Era of the store.
 * @param knowsTokens Reports whether an owner has kept what it knew in the earlier era.
 * @returns The confirmed record.
 *
 * @example
 * const confirmed = confirmRecord(record, 2, ({ node }) => trusted.has(node));
 */
export const confirmRecord = (
  record: RangeRecord,
  era: number,
  knowsTokens: (owner: Owner) => boolean,
): RangeRecord => {
  const token = Math.max(record.nextToken, era * TOKENS_PER_ERA + 1);
  const rows = record.rows.map((row): RangeRow => (
    row.owner === undefined || knowsTokens(row.owner) ? row : { ...row, token }
  ));
  const isUsed = rows.some((row, index) => row !== record.rows[index]);
  return stampRecord({ nextToken: isUsed ? token + 1 : token, rows }, record, era);
};

/** Returns a record in which no row is being moved; owners keep such rows for the time being. */
export const suspendMoves = (record: RangeRecord): RangeRecord => {
  const isMoving = ({ owner, successor }: RangeRow) => (
    successor !== undefined && !isSameOwner(owner, successor)
  );
  if (!record.rows.some(isMoving)) return record;
  return { ...record, rows: record.rows.map((row) => ({ ...row, successor: undefined })) };
};
