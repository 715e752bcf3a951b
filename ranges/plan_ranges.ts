import type { RangeAssignment } from './change_record.ts';
import type { LoadCell } from './key_load.ts';
import { KEY_COUNT, keyCount, type KeyRange } from './key_range.ts';
import {
  type Owner, ownerKey, type RangeRecord, type RangeRow,
} from './range_record.ts';

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

interface Account {
  readonly candidate: Candidate;
  load: number;
  keys: number;
}

/**
 * Load in requests a second that a full set of keys is given beside its measured load, so that keys
 * without requests are spread too.
 */
const BASE_RATE = 20;
/** Moves that one plan asks for: each makes its keys wait for about half a second. */
const MAX_MOVES = 6;
/** Below this use, an instance serves its keys without a queue. */
const BUSY_UTILISATION = 0.55;
/** A move must leave the giver this much busier than the taker, or the keys would move back. */
const MARGIN = 1.2;

const baseLoad = (range: KeyRange) => (BASE_RATE * keyCount(range)) / KEY_COUNT;

const share = (cell: LoadCell, range: KeyRange) => {
  const from = Math.max(cell.from, range.from);
  const to = Math.min(cell.to, range.to);
  return to < from ? 0 : (cell.rate * (to - from + 1)) / keyCount(cell);
};

const loadOf = (range: KeyRange, cells: readonly LoadCell[]) => {
  let load = baseLoad(range);
  for (const cell of cells) load += share(cell, range);
  return load;
};

const utilisation = ({ load, candidate }: Account, more = 0) => (
  (load + more) / Math.max(candidate.capacity, Number.EPSILON)
);

/** Load and keys that each candidate has or will have once begun moves are done. */
const openAccounts = (record: RangeRecord, { candidates, cells }: LoadPicture) => {
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

const leastUsed = (accounts: Iterable<Account>): Account | undefined => {
  let best: Account | undefined;
  for (const account of accounts) {
    if (best === undefined || utilisation(account) < utilisation(best)) best = account;
  }
  return best;
};

/** Length of the part of `row` that brings `account` up to the use `target`. */
const lengthToFill = (row: KeyRange, account: Account, target: number, load: number) => {
  const room = target * account.candidate.capacity - account.load;
  if (load <= room) return keyCount(row);
  return Math.max(1, Math.floor((keyCount(row) * Math.max(0, room)) / load));
};

/**
 * Chooses owners for the keys without one: each candidate is filled up to the use that all would
 * have if load were divided by capacity.
 *
 * Answers the loss of an instance and the first start of a fleet.
 *
 * @param record The record.
 * @param picture Candidates and measured load.
 * @returns Keys and their owners; empty without candidates.
 *
 * @example
 * const next = assignRanges(record, planAssignments(record, { candidates, cells: [] }));
 */
export const planAssignments = (
  record: RangeRecord,
  picture: LoadPicture,
): readonly RangeAssignment[] => {
  const accounts = openAccounts(record, picture);
  const free = record.rows.filter(({ owner }) => owner === undefined);
  const all = [...accounts.values()];
  if (all.length === 0 || free.length === 0) return [];
  const total = all.reduce((sum, { load }) => sum + load, 0)
    + free.reduce((sum, row) => sum + loadOf(row, picture.cells), 0);
  const target = total / all.reduce((sum, { candidate }) => sum + candidate.capacity, 0);
  const assignments: RangeAssignment[] = [];
  for (const row of free) {
    let { from } = row;
    while (from <= row.to) {
      const rest = { from, to: row.to };
      const account = leastUsed(all)!;
      const length = lengthToFill(rest, account, target, loadOf(rest, picture.cells));
      // A last part of a few keys is not worth a row of its own.
      const to = row.to - (from + length - 1) < keyCount(row) / 64 ? row.to : from + length - 1;
      const part = { from, to };
      account.load += loadOf(part, picture.cells);
      assignments.push({ ...part, owner: account.candidate.owner });
      from = to + 1;
    }
  }
  return assignments;
};

interface Piece extends KeyRange {
  readonly load: number;
}

/** Parts of the rows of one owner that can move, cut at the borders of the load cells. */
const piecesOf = (
  rows: readonly RangeRow[],
  owner: Owner,
  cells: readonly LoadCell[],
): readonly Piece[] => {
  const key = ownerKey(owner);
  const pieces: Piece[] = [];
  for (const row of rows) {
    if (row.owner === undefined || row.successor !== undefined) continue;
    if (ownerKey(row.owner) !== key) continue;
    const inside = cells.filter((cell) => cell.from >= row.from && cell.to <= row.to);
    const parts: readonly KeyRange[] = inside.length > 0 ? inside : [row];
    for (const { from, to } of parts) {
      pieces.push({ from, to, load: loadOf({ from, to }, cells) });
    }
  }
  return pieces;
};

/** The largest piece that leaves the giver busier than the taker. */
const choosePiece = (pieces: readonly Piece[], giver: Account, taker: Account) => {
  let best: Piece | undefined;
  for (const piece of pieces) {
    const giverAfter = utilisation(giver, -piece.load);
    const fits = utilisation(taker, piece.load) * MARGIN <= utilisation(giver)
      && utilisation(taker, piece.load) <= Math.max(giverAfter * MARGIN, BUSY_UTILISATION);
    if (fits && (best === undefined || piece.load > best.load)) best = piece;
  }
  return best;
};

/** Keys for an instance that owns none: as many as its share, from the busiest owner's end. */
const planFirstKeys = (
  record: RangeRecord,
  taker: Account,
  givers: readonly Account[],
): readonly RangeAssignment[] => {
  const totalCapacity = givers.reduce((sum, { candidate }) => sum + candidate.capacity, 0)
    + taker.candidate.capacity;
  let wanted = Math.floor((KEY_COUNT * taker.candidate.capacity) / totalCapacity);
  const moves: RangeAssignment[] = [];
  const sorted = [...givers].sort((left, right) => utilisation(right) - utilisation(left));
  for (const { candidate, keys } of sorted.slice(0, 2)) {
    const key = ownerKey(candidate.owner);
    const rows = record.rows.filter((row) => row.owner !== undefined
      && row.successor === undefined && ownerKey(row.owner) === key);
    const row = rows.sort((left, right) => keyCount(right) - keyCount(left))[0];
    if (row === undefined || wanted <= 0) continue;
    const length = Math.min(wanted, Math.floor(keys / 2), keyCount(row));
    if (length <= 0) continue;
    moves.push({ from: row.to - length + 1, to: row.to, owner: taker.candidate.owner });
    wanted -= length;
  }
  return moves;
};

/**
 * Chooses keys that move from busy to less busy owners.
 *
 * Answers hot ranges, single hot keys, instances of unequal speed and added instances: a hot piece
 * is small in keys, so it moves first and costs little.
 *
 * @param record The record.
 * @param picture Candidates and measured load.
 * @returns Keys and their next owners; empty when a move would not help enough.
 *
 * @example
 * const next = requestMoves(record, planMoves(record, { candidates, cells }));
 */
export const planMoves = (
  record: RangeRecord,
  picture: LoadPicture,
): readonly RangeAssignment[] => {
  const accounts = [...openAccounts(record, picture).values()];
  if (accounts.length < 2) return [];
  const empty = accounts.find(({ keys }) => keys === 0);
  if (empty !== undefined) {
    return planFirstKeys(record, empty, accounts.filter((account) => account.keys > 0));
  }
  const moves: RangeAssignment[] = [];
  const pieces = new Map<Account, Piece[]>();
  while (moves.length < MAX_MOVES) {
    const sorted = [...accounts].sort((left, right) => utilisation(right) - utilisation(left));
    const giver = sorted[0]!;
    const taker = sorted.at(-1)!;
    if (utilisation(giver) < BUSY_UTILISATION) return moves;
    const own = pieces.get(giver)
      ?? [...piecesOf(record.rows, giver.candidate.owner, picture.cells)];
    pieces.set(giver, own);
    const piece = choosePiece(own, giver, taker);
    if (piece === undefined) return moves;
    own.splice(own.indexOf(piece), 1);
    giver.load -= piece.load;
    taker.load += piece.load;
    moves.push({ from: piece.from, to: piece.to, owner: taker.candidate.owner });
  }
  return moves;
};
