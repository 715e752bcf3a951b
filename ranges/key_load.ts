import type { Clock } from '../clock/mod.ts';
import type { KeyRange } from './key_range.ts';

/** Neighbouring keys and the requests a second for them. */
export interface LoadCell extends KeyRange {
  readonly rate: number;
}

/** Counts requests by key. */
export interface KeyLoad {
  readonly record: (key: number) => void;
  /** Divides ranges into cells of about equal load; a cell can be a single busy key. */
  readonly cells: (ranges: readonly KeyRange[], maxCells: number) => readonly LoadCell[];
}

/** Time in ms in which the weight of a past request halves: hot keys change within seconds. */
const HALF_LIFE_MS = 1500;
const MEAN_LIFE_S = HALF_LIFE_MS / Math.LN2 / 1000;
/** Keys with less weight than this are forgotten. */
const MIN_WEIGHT = 0.02;
/** Past requests lose weight once in this time. */
const DECAY_STEP_MS = 250;

/**
 * Creates a counter without requests.
 *
 * @param clock Clock.
 * @returns The counter.
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
    if (elapsed < DECAY_STEP_MS) return;
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
        // A key that is a whole cell by itself stands alone, so that it can be moved alone.
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
