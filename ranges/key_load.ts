import type { Clock } from '../clock/mod.ts';
import type { KeyRange } from './key_range.ts';

/** Adjacent keys and their combined request rate. */
export interface LoadCell extends KeyRange {
  /** Requests per second. */
  readonly rate: number;
}

/** Measures the request rate by key, with exponential decay. */
export interface KeyLoad {
  readonly record: (key: number) => void;
  /** Splits ranges into cells of about equal load; a hot key can be a cell of its own. */
  readonly cells: (ranges: readonly KeyRange[], maxCells: number) => readonly LoadCell[];
}

/** Half-life of a request's weight; short, since the set of hot keys changes within seconds. */
const HALF_LIFE_MS = 1500;
const MEAN_LIFE_S = HALF_LIFE_MS / Math.LN2 / 1000;
/** Keys whose weight has decayed below this are removed. */
const MIN_WEIGHT = 0.02;
/** Minimum interval between two decay passes over all keys. */
const DECAY_INTERVAL_MS = 250;

/**
 * Creates a load measurement without any requests.
 *
 * @param clock Monotonic clock for the decay.
 * @returns The measurement.
 *
 * @example
 * load.record(17);
 * const cells = load.cells([{ from: 0, to: 99 }], 8);
 */
export const createKeyLoad = (clock: Clock): KeyLoad => {
  const weights = new Map<number, number>();
  let decayedAt = clock.now();

  const decay = () => {
    const elapsed = clock.now() - decayedAt;
    if (elapsed < DECAY_INTERVAL_MS) return;
    decayedAt = clock.now();
    const factor = 2 ** (-elapsed / HALF_LIFE_MS);
    for (const [key, weight] of weights) {
      if (weight * factor < MIN_WEIGHT) weights.delete(key);
      else weights.set(key, weight * factor);
    }
  };

  const cells: KeyLoad['cells'] = (ranges, maxCells) => {
    decay();
    const sorted = [...weights].sort(([left], [right]) => left - right);
    const total = sorted.reduce((sum, [, weight]) => sum + weight, 0);
    const limit = total / Math.max(1, maxCells);
    const result: LoadCell[] = [];
    for (const { from, to } of ranges) {
      let start = from;
      let rate = 0;
      const cut = (end: number) => {
        if (end < start) return;
        result.push({ from: start, to: end, rate: rate / MEAN_LIFE_S });
        start = end + 1;
        rate = 0;
      };
      for (const [key, weight] of sorted) {
        if (key < from || key > to) continue;
        // A key that fills a cell by itself gets a cell of its own, so that it can move alone.
        if (rate + weight > limit && rate > 0) cut(key - 1);
        rate += weight;
        if (rate >= limit) cut(key);
      }
      cut(to);
    }
    return result;
  };

  return {
    record: (key) => {
      decay();
      weights.set(key, (weights.get(key) ?? 0) + 1);
    },
    cells,
  };
};
