import {
  type Account, type LoadPicture, loadOf, openAccounts, utilisation,
} from './_accounts.ts';
import type { RangeAssignment } from './change_record.ts';
import type { LoadCell } from './key_load.ts';
import { KEY_COUNT, keyCount, type KeyRange } from './key_range.ts';
import {
  type Owner, ownerKey, type RangeRecord, type RangeRow,
} from './range_record.ts';

/** Moves that one plan asks for; the record and the answers with grants stay short. */
const MAX_MOVES = 12;
/** A move must leave the giver this much busier than the taker, or the keys would move back. */
const MARGIN = 1.2;
/** Below this use, an instance serves its requests in time. */
const TIMELY_UTILISATION = 0.7;
/** Part of the requests between that use and full use that are served in time. */
const BUSY_TIMELY_PART = 0.5;
/** Hot keys stay hot for some seconds. */
const BENEFIT_S = 3;
/** Keys that move are not served between the release and the next announcement of their taker. */
const MOVE_COST_S = 0.8;

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

/** Requests a second that an instance serves in time; it levels off as the load rises. */
const timelyRate = (account: Account, more = 0) => {
  const use = utilisation(account, more);
  const calm = Math.min(use, TIMELY_UTILISATION);
  const busy = Math.max(0, Math.min(use, 1) - TIMELY_UTILISATION) * BUSY_TIMELY_PART;
  return (calm + busy) * account.candidate.capacity;
};

/** Requests served in time that a move gains, less those that are refused while it lasts. */
const gainOf = ({ load }: Piece, giver: Account, taker: Account) => {
  const before = timelyRate(giver) + timelyRate(taker);
  const after = timelyRate(giver, -load) + timelyRate(taker, load);
  return (after - before) * BENEFIT_S - load * MOVE_COST_S;
};

/** The piece whose move gains most; undefined when none gains. */
const choosePiece = (pieces: readonly Piece[], giver: Account, taker: Account) => {
  let best: Piece | undefined;
  let bestGain = 0;
  for (const piece of pieces) {
    if (utilisation(taker, piece.load) * MARGIN > utilisation(giver)) continue;
    const gain = gainOf(piece, giver, taker);
    if (gain <= bestGain) continue;
    best = piece;
    bestGain = gain;
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
 * Chooses keys that move from busy to less busy owners. A move is worth its pause only if more
 * requests are served in time afterwards; between owners that are both full, none is.
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
  const pieces = new Map(accounts.map((account) => (
    [account, [...piecesOf(record.rows, account.candidate.owner, picture.cells)]]
  )));

  const nextMove = (): RangeAssignment | undefined => {
    const sorted = [...accounts].sort((left, right) => utilisation(right) - utilisation(left));
    const taker = sorted.at(-1)!;
    for (const giver of sorted) {
      if (giver === taker || utilisation(giver) < TIMELY_UTILISATION) return undefined;
      const own = pieces.get(giver)!;
      const piece = choosePiece(own, giver, taker);
      if (piece === undefined) continue;
      own.splice(own.indexOf(piece), 1);
      giver.load -= piece.load;
      taker.load += piece.load;
      return { from: piece.from, to: piece.to, owner: taker.candidate.owner };
    }
    return undefined;
  };

  const moves: RangeAssignment[] = [];
  while (moves.length < MAX_MOVES) {
    const move = nextMove();
    if (move === undefined) break;
    moves.push(move);
  }
  return moves;
};
