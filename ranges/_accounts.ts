import type { LoadCell } from './key_load.ts';
import { KEY_COUNT, keyCount, type KeyRange } from './key_range.ts';
import { type Owner, ownerKey, type RangeRecord } from './range_record.ts';

/** An instance that can own keys. */
export interface Candidate {
  readonly owner: Owner;
  /** Requests a second that the instance can serve, or any common measure of its size. */
  readonly capacity: number;
}

/** What is known of the load when owners are chosen. */
export interface LoadPicture {
  readonly candidates: readonly Candidate[];
  /** Measured load; keys without a cell count by their number alone. */
  readonly cells: readonly LoadCell[];
}

/** One candidate with the load and keys that it has or will have. */
export interface Account {
  readonly candidate: Candidate;
  load: number;
  keys: number;
}

/**
 * Load in requests a second that a full set of keys is given beside its measured load, so that keys
 * without requests are spread too.
 */
const BASE_RATE = 20;

const baseLoad = (range: KeyRange) => (BASE_RATE * keyCount(range)) / KEY_COUNT;

const share = (cell: LoadCell, range: KeyRange) => {
  const from = Math.max(cell.from, range.from);
  const to = Math.min(cell.to, range.to);
  return to < from ? 0 : (cell.rate * (to - from + 1)) / keyCount(cell);
};

/** Load of keys: the measured one, and a little for each key. */
export const loadOf = (range: KeyRange, cells: readonly LoadCell[]) => {
  let load = baseLoad(range);
  for (const cell of cells) load += share(cell, range);
  return load;
};

/** Load over capacity, with `more` load added. */
export const utilisation = ({ load, candidate }: Account, more = 0) => (
  (load + more) / Math.max(candidate.capacity, Number.EPSILON)
);

/** Load and keys that each candidate has or will have once begun moves are done. */
export const openAccounts = (record: RangeRecord, { candidates, cells }: LoadPicture) => {
  const accounts = new Map<string, Account>(candidates.map((candidate) => (
    [ownerKey(candidate.owner), { candidate, load: 0, keys: 0 }]
  )));
  for (const row of record.rows) {
    const owner = row.successor ?? row.owner;
    const account = owner && accounts.get(ownerKey(owner));
    if (account === undefined) continue;
    account.load += loadOf(row, cells);
    account.keys += keyCount(row);
  }
  return accounts;
};

export const leastUsed = (accounts: Iterable<Account>): Account | undefined => {
  let best: Account | undefined;
  for (const account of accounts) {
    if (best === undefined || utilisation(account) < utilisation(best)) best = account;
  }
  return best;
};
