import type { LoadCell } from './key_load.ts';
import { KEY_COUNT, keyCount, type KeyRange } from './key_range.ts';
import { type Owner, ownerKey, type RangeRecord } from './range_record.ts';

/** An instance that keys can be assigned to. */
export interface Candidate {
  readonly owner: Owner;
  /** Requests per second that the instance can serve, or any other unit common to all. */
  readonly capacity: number;
}

/** Candidates and measured load at the time owners are chosen. */
export interface LoadSnapshot {
  readonly candidates: readonly Candidate[];
  /** Measured load; keys outside every cell contribute only their base load. */
  readonly cells: readonly LoadCell[];
}

/** Load and number of keys of a candidate, pending moves included. */
export interface CandidateUsage {
  readonly candidate: Candidate;
  load: number;
  keys: number;
}

/**
 * Base load of the whole key space in requests per second, added to the measured load so that keys
 * without requests are distributed too.
 */
const BASE_LOAD_PER_S = 20;

const baseLoad = (range: KeyRange) => (BASE_LOAD_PER_S * keyCount(range)) / KEY_COUNT;

const overlapRate = (cell: LoadCell, range: KeyRange) => {
  const from = Math.max(cell.from, range.from);
  const to = Math.min(cell.to, range.to);
  return to < from ? 0 : (cell.rate * (to - from + 1)) / keyCount(cell);
};

/** Cells by key, for lookups that do not walk all cells of a large fleet. */
export interface CellIndex {
  /** Sorted by their first key. */
  readonly cells: readonly LoadCell[];
  /** Largest last key of the cells up to each position. */
  readonly lastKeys: readonly number[];
}

/** Creates the index of cells, which may overlap. */
export const indexCells = (cells: readonly LoadCell[]): CellIndex => {
  const sorted = [...cells].sort((left, right) => left.from - right.from);
  const lastKeys: number[] = [];
  let lastKey = -1;
  for (const { to } of sorted) {
    lastKey = Math.max(lastKey, to);
    lastKeys.push(lastKey);
  }
  return { cells: sorted, lastKeys };
};

/** Returns the cells that share keys with a range, in descending order. */
export const findCells = ({ cells, lastKeys }: CellIndex, range: KeyRange): readonly LoadCell[] => {
  let low = 0;
  let high = cells.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (cells[middle]!.from <= range.to) low = middle + 1;
    else high = middle;
  }
  const found: LoadCell[] = [];
  for (let index = low - 1; index >= 0 && lastKeys[index]! >= range.from; index -= 1) {
    if (cells[index]!.to >= range.from) found.push(cells[index]!);
  }
  return found;
};

/** Load of a range in requests per second: the measured load plus the base load of its keys. */
export const loadOf = (range: KeyRange, index: CellIndex) => {
  let load = baseLoad(range);
  for (const cell of findCells(index, range)) load += overlapRate(cell, range);
  return load;
};

/** Ratio of load to capacity, with `extraLoad` added to the load. */
export const utilisation = ({ load, candidate }: CandidateUsage, extraLoad = 0) => (
  (load + extraLoad) / Math.max(candidate.capacity, Number.EPSILON)
);

/** Sums load and keys for each candidate, as they will be once pending moves have completed. */
export const sumUsage = (
  record: RangeRecord,
  candidates: readonly Candidate[],
  index: CellIndex,
) => {
  const usages = new Map<string, CandidateUsage>(candidates.map((candidate) => (
    [ownerKey(candidate.owner), { candidate, load: 0, keys: 0 }]
  )));
  for (const row of record.rows) {
    const owner = row.successor ?? row.owner;
    const usage = owner && usages.get(ownerKey(owner));
    if (usage === undefined) continue;
    usage.load += loadOf(row, index);
    usage.keys += keyCount(row);
  }
  return usages;
};

export const leastUtilised = (usages: Iterable<CandidateUsage>): CandidateUsage | undefined => {
  let best: CandidateUsage | undefined;
  for (const usage of usages) {
    if (best === undefined || utilisation(usage) < utilisation(best)) best = usage;
  }
  return best;
};
