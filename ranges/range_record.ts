import * as z from 'zod';
import { KEY_COUNT, type KeyRange } from './key_range.ts';

/** One process of an instance, together with the node of its host. */
export interface Owner {
  readonly node: string;
  readonly instance: string;
  /** Start of the instance's process, in ms since the Unix epoch. */
  readonly startedAt: number;
}

/** A range of keys that has one owner or none. */
export interface RangeRow extends KeyRange {
  /** Fencing token of the owner; increases with each change of owner. */
  readonly token: number;
  readonly owner: Owner | undefined;
  /** Next owner, to which the current owner has been asked to release the keys. */
  readonly successor: Owner | undefined;
  /** Opaque handover data from the previous owner; empty if there is none. */
  readonly handover: string;
}

/** Ownership of all keys of a service; the rows are sorted by key and contiguous. */
export interface RangeRecord {
  /** Fencing token for the next change of owner. */
  readonly nextToken: number;
  readonly rows: readonly RangeRow[];
  /** Era of the store in which the record was confirmed; absent if the store has no eras. */
  readonly era?: number;
  /** Number of writes so far; absent if the store has no eras. */
  readonly serial?: number;
}

const NO_OWNER_INDEX = -1;

const recordSchema = z.object({
  nextToken: z.int().min(1),
  era: z.int().min(0).optional(),
  serial: z.int().min(0).optional(),
  owners: z.array(z.tuple([z.string(), z.string(), z.number()])),
  rows: z.array(z.tuple([
    z.int(), z.int(), z.int(), z.int(), z.int(), z.string(),
  ])).min(1),
});

/** Initial record of a service: no key has had an owner yet. */
export const emptyRecord: RangeRecord = {
  nextToken: 1,
  rows: [{
    from: 0, to: KEY_COUNT - 1, token: 0, owner: undefined, successor: undefined, handover: '',
  }],
};

/** Returns a string that identifies one process of one instance. */
export const ownerKey = ({ node, instance, startedAt }: Owner): string => (
  `${node}/${instance}/${startedAt}`
);

/** Reports whether two owners are the same process of the same instance. */
export const isSameOwner = (left: Owner | undefined, right: Owner | undefined): boolean => (
  left === right || (left !== undefined && right !== undefined
    && ownerKey(left) === ownerKey(right))
);

/**
 * Encodes a record as JSON; each owner is listed once and the rows refer to it by index.
 *
 * @example
 * const text = encodeRecord(emptyRecord);
 */
export const encodeRecord = (record: RangeRecord): string => {
  const {
    nextToken, rows, era, serial,
  } = record;
  const indexes = new Map<string, number>();
  const owners: [string, string, number][] = [];
  const indexOf = (owner: Owner | undefined) => {
    if (owner === undefined) return NO_OWNER_INDEX;
    const key = ownerKey(owner);
    const known = indexes.get(key);
    if (known !== undefined) return known;
    owners.push([owner.node, owner.instance, owner.startedAt]);
    indexes.set(key, owners.length - 1);
    return owners.length - 1;
  };
  const encoded = rows.map((row) => [
    row.from, row.to, row.token, indexOf(row.owner), indexOf(row.successor), row.handover,
  ]);
  return JSON.stringify({
    nextToken, era, serial, owners, rows: encoded,
  });
};

const coversAllKeys = (rows: readonly RangeRow[]) => {
  let next = 0;
  for (const { from, to } of rows) {
    if (from !== next || to < from) return false;
    next = to + 1;
  }
  return next === KEY_COUNT;
};

/**
 * Decodes and validates a stored record.
 *
 * @param text Stored JSON.
 * @returns The record, or undefined when the text is malformed or does not cover all keys.
 *
 * @example
 * const record = decodeRecord(entry.value);
 */
export const decodeRecord = (text: string): RangeRecord | undefined => {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return undefined;
  }
  const parsed = recordSchema.safeParse(json);
  if (!parsed.success) return undefined;
  const {
    nextToken, owners, rows, era, serial,
  } = parsed.data;
  const ownerAt = (index: number): Owner | undefined => {
    const owner = owners[index];
    return owner && { node: owner[0], instance: owner[1], startedAt: owner[2] };
  };
  const decoded = rows.map(([from, to, token, owner, successor, handover]) => ({
    from, to, token, owner: ownerAt(owner), successor: ownerAt(successor), handover,
  }));
  if (!coversAllKeys(decoded)) return undefined;
  return era === undefined ? { nextToken, rows: decoded } : {
    nextToken, rows: decoded, era, serial: serial ?? 0,
  };
};

/**
 * Finds the row that contains a key, by binary search.
 *
 * @example
 * const owner = findRow(record, 17).owner;
 */
export const findRow = ({ rows }: RangeRecord, key: number): RangeRow | undefined => {
  let low = 0;
  let high = rows.length - 1;
  while (low <= high) {
    const middle = Math.floor((low + high) / 2);
    const row = rows[middle]!;
    if (key < row.from) high = middle - 1;
    else if (key > row.to) low = middle + 1;
    else return row;
  }
  return undefined;
};
