import {
  type CandidateUsage, type CellIndex, findCells, indexCells, type LoadSnapshot, loadOf, sumUsage,
  utilisation,
} from './_candidate_usage.ts';
import type { RangeAssignment } from './change_record.ts';
import {
  KEY_COUNT, keyCount, type KeyRange, overlaps,
} from './key_range.ts';
import {
  ownerKey, type RangeRecord, type RangeRow,
} from './range_record.ts';

/**
 * Bounds on the moves of a plan, as each makes the record longer. Busy keys lie together, so that
 * in a large fleet a few owners have the load of many and need many moves at once.
 */
const MIN_MOVE_LIMIT = 12;
const MOVES_PER_OWNER = 0.6;
/**
 * Minimum ratio of the source's utilisation to that of the destination with the moved load; with
 * less, the keys would move back.
 */
const HYSTERESIS_RATIO = 1.2;
/** Up to this utilisation, an instance serves all requests within their deadlines. */
const CONGESTION_UTILISATION = 0.7;
/** Fraction of the load between that utilisation and 1 that is served within its deadline. */
const CONGESTED_GOODPUT_RATIO = 0.5;
/** Time in s for which a move is assumed to pay off, since hot keys stay hot for some seconds. */
const BENEFIT_DURATION_S = 3;
/**
 * Time in s for which moving keys are not served: from their release to the next announcement of
 * the destination.
 */
const MOVE_PAUSE_S = 0.8;

/** Owners that give an instance without keys its first ones; each adds a row to the record. */
const MAX_INITIAL_SOURCES = 2;

interface MovableRange extends KeyRange {
  /** Requests per second. */
  readonly load: number;
}

/** Groups the rows that are not moving by the key of their owner. */
const groupRows = (rows: readonly RangeRow[]): ReadonlyMap<string, readonly RangeRow[]> => {
  const groups = new Map<string, RangeRow[]>();
  for (const row of rows) {
    if (row.owner === undefined || row.successor !== undefined) continue;
    const key = ownerKey(row.owner);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [row]);
    else group.push(row);
  }
  return groups;
};

/** Splits the rows of one owner into ranges that can move, at the boundaries of the load cells. */
const movableRangesOf = (
  rows: readonly RangeRow[],
  cells: CellIndex,
): readonly MovableRange[] => {
  const ranges: MovableRange[] = [];
  for (const row of rows) {
    const inside = findCells(cells, row)
      .filter((cell) => cell.from >= row.from && cell.to <= row.to)
      .reverse();
    const parts: readonly KeyRange[] = inside.length > 0 ? inside : [row];
    for (const { from, to } of parts) {
      ranges.push({ from, to, load: loadOf({ from, to }, cells) });
    }
  }
  return ranges;
};

/** Requests per second served within their deadlines; flattens as utilisation approaches 1. */
const goodput = (usage: CandidateUsage, extraLoad = 0) => {
  const utilised = utilisation(usage, extraLoad);
  const uncongested = Math.min(utilised, CONGESTION_UTILISATION);
  const congested = Math.max(0, Math.min(utilised, 1) - CONGESTION_UTILISATION)
    * CONGESTED_GOODPUT_RATIO;
  return (uncongested + congested) * usage.candidate.capacity;
};

/** Additional requests served in time after a move, minus those refused during it. */
const goodputGain = (
  { load }: MovableRange,
  source: CandidateUsage,
  destination: CandidateUsage,
) => {
  const before = goodput(source) + goodput(destination);
  const after = goodput(source, -load) + goodput(destination, load);
  // An overloaded source refuses most requests of the range without a move, too.
  const servedFraction = Math.min(1, goodput(source) / Math.max(source.load, Number.EPSILON));
  return (after - before) * BENEFIT_DURATION_S - load * servedFraction * MOVE_PAUSE_S;
};

/** Returns the move with the largest gain, or undefined when no move has a positive gain. */
const chooseMove = (
  ranges: readonly MovableRange[],
  source: CandidateUsage,
  destinations: ReadonlySet<CandidateUsage>,
) => {
  let best: { readonly range: MovableRange; readonly destination: CandidateUsage } | undefined;
  let bestGain = 0;
  for (const destination of destinations) {
    for (const range of ranges) {
      if (utilisation(destination, range.load) * HYSTERESIS_RATIO > utilisation(source)) continue;
      const gain = goodputGain(range, source, destination);
      if (gain <= bestGain) continue;
      best = { range, destination };
      bestGain = gain;
    }
  }
  return best;
};

const headroom = ({ candidate, load }: CandidateUsage) => candidate.capacity - load;

/** The least utilised owner, and that with most capacity to spare, which suits a single hot key. */
const listDestinations = (sorted: readonly CandidateUsage[]): ReadonlySet<CandidateUsage> => {
  let roomiest = sorted.at(-1)!;
  for (const usage of sorted) if (headroom(usage) > headroom(roomiest)) roomiest = usage;
  return new Set([sorted.at(-1)!, roomiest]);
};

/** A row of which keys are still to be given away, from its upper end. */
interface OpenRow extends KeyRange {
  to: number;
}

/**
 * Plans the first keys of all instances that own none: for each as many as its share of the
 * capacity, taken from the upper ends of the largest rows of the two most utilised owners, half of
 * an owner's keys at most. The load of the sources is reduced by the planned moves.
 */
const planInitialKeys = (
  groups: ReadonlyMap<string, readonly RangeRow[]>,
  destinations: readonly CandidateUsage[],
  sources: readonly CandidateUsage[],
  cells: CellIndex,
): readonly RangeAssignment[] => {
  const totalCapacity = [...sources, ...destinations]
    .reduce((sum, { candidate }) => sum + candidate.capacity, 0);
  const openRows = new Map([...groups].map(([key, rows]): [string, OpenRow[]] => (
    [key, rows.map(({ from, to }) => ({ from, to }))]
  )));
  const keysLeft = new Map(sources.map((usage) => [usage, Math.ceil(usage.keys / 2)]));
  const moves: RangeAssignment[] = [];

  /** Moves up to `wanted` keys of the largest row of a source; returns their number. */
  const takeFrom = (source: CandidateUsage, destination: CandidateUsage, wanted: number) => {
    const rows = openRows.get(ownerKey(source.candidate.owner)) ?? [];
    let row: OpenRow | undefined;
    for (const open of rows) {
      if (row === undefined || keyCount(open) > keyCount(row)) row = open;
    }
    if (row === undefined) return 0;
    const left = keysLeft.get(source)!;
    const length = Math.min(wanted, left, Math.floor(source.keys / 2), keyCount(row));
    if (length <= 0) return 0;
    const range = { from: row.to - length + 1, to: row.to };
    const load = loadOf(range, cells);
    row.to -= length;
    if (keyCount(row) === 0) rows.splice(rows.indexOf(row), 1);
    keysLeft.set(source, left - length);
    Object.assign(source, { keys: source.keys - length, load: source.load - load });
    Object.assign(destination, { keys: destination.keys + length, load: destination.load + load });
    moves.push({ ...range, owner: destination.candidate.owner });
    return length;
  };

  for (const destination of destinations) {
    let wanted = Math.floor((KEY_COUNT * destination.candidate.capacity) / totalCapacity);
    const sorted = [...sources].sort((left, right) => utilisation(right) - utilisation(left));
    let used = 0;
    for (const source of sorted) {
      if (used >= MAX_INITIAL_SOURCES || wanted <= 0) break;
      const taken = takeFrom(source, destination, wanted);
      wanted -= taken;
      if (taken > 0) used += 1;
    }
  }
  return moves;
};

/**
 * Chooses keys to move from more to less utilised owners. A move interrupts service, so it is
 * planned only if more requests are served in time afterwards; between two saturated owners, no
 * move gains anything.
 *
 * Handles hot ranges, single hot keys, instances of unequal speed and added instances. A hot range
 * contains few keys, so it moves first and the interruption costs little.
 *
 * @param record Current record.
 * @param snapshot Candidates and measured load.
 * @returns Ranges and their next owners; empty when no move would help enough.
 *
 * @example
 * const next = requestMoves(record, planMoves(record, { candidates, cells }));
 */
export const planMoves = (
  record: RangeRecord,
  snapshot: LoadSnapshot,
): readonly RangeAssignment[] => {
  const cells = indexCells(snapshot.cells);
  const usages = [...sumUsage(record, snapshot.candidates, cells).values()];
  if (usages.length < 2) return [];
  const groups = groupRows(record.rows);
  const moves = [...planInitialKeys(
    groups,
    usages.filter(({ keys }) => keys === 0),
    usages.filter(({ keys }) => keys > 0),
    cells,
  )];
  const initialMoves = [...moves];
  const isMoving = (range: KeyRange) => initialMoves.some((move) => overlaps(move, range));
  const ranges = new Map<CandidateUsage, MovableRange[]>();
  const rangesOf = (usage: CandidateUsage) => {
    const known = ranges.get(usage);
    if (known !== undefined) return known;
    const rows = groups.get(ownerKey(usage.candidate.owner)) ?? [];
    const movable = movableRangesOf(rows, cells).filter((range) => !isMoving(range));
    ranges.set(usage, movable);
    return movable;
  };

  const sorted = usages.sort((left, right) => utilisation(right) - utilisation(left));
  /** Puts owners whose load has changed at their places again. */
  const sortAgain = (...changed: readonly CandidateUsage[]) => {
    for (const usage of changed) sorted.splice(sorted.indexOf(usage), 1);
    for (const usage of changed) {
      const place = sorted.findIndex((other) => utilisation(other) < utilisation(usage));
      sorted.splice(place < 0 ? sorted.length : place, 0, usage);
    }
  };

  const nextMove = (): RangeAssignment | undefined => {
    const destinations = listDestinations(sorted);
    for (const source of sorted) {
      const isCongested = utilisation(source) >= CONGESTION_UTILISATION;
      if (destinations.has(source) || !isCongested) return undefined;
      const sourceRanges = rangesOf(source);
      const move = chooseMove(sourceRanges, source, destinations);
      if (move === undefined) continue;
      const { range, destination } = move;
      sourceRanges.splice(sourceRanges.indexOf(range), 1);
      source.load -= range.load;
      destination.load += range.load;
      sortAgain(source, destination);
      return { from: range.from, to: range.to, owner: destination.candidate.owner };
    }
    return undefined;
  };

  const moveLimit = initialMoves.length
    + Math.max(MIN_MOVE_LIMIT, Math.ceil(usages.length * MOVES_PER_OWNER));
  while (moves.length < moveLimit) {
    const move = nextMove();
    if (move === undefined) break;
    moves.push(move);
  }
  return moves;
};
