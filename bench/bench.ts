/** One measured value; `naive`, `product` and `target` are `null` where there is none. */
export interface BenchRow {
  readonly bench: string;
  readonly metric: string;
  readonly unit: string;
  /** Value of a simple baseline implementation. */
  readonly naive: number | null;
  /** Value of this project's code. */
  readonly product: number | null;
  /** Bound on `product`. */
  readonly target: BenchTarget | null;
}

/** Bound that a measured value must meet. */
export interface BenchTarget {
  readonly relation: 'at most' | 'at least' | 'equal';
  readonly value: number;
}

/** Options of a benchmark run. */
export interface BenchOptions {
  readonly seed: number;
}

/** Runs one benchmark and returns its rows. */
export type Bench = (options: BenchOptions) => Promise<readonly BenchRow[]>;

type Comparison = (value: number, bound: number) => boolean;

const comparisons: Readonly<Record<BenchTarget['relation'], Comparison>> = {
  'at most': (value, bound) => value <= bound,
  'at least': (value, bound) => value >= bound,
  equal: (value, bound) => value === bound,
};

/**
 * Reports whether the measured value of a row meets its target.
 *
 * @param row The row.
 * @returns `undefined` if the row has no target or no value for `product`.
 *
 * @example
 * if (isTargetMet(row) === false) console.error('missed', row.metric);
 */
export const isTargetMet = (row: BenchRow): boolean | undefined => {
  if (row.target === null || row.product === null) return undefined;
  return comparisons[row.target.relation](row.product, row.target.value);
};
