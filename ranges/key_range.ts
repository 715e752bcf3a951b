/** Number of keys of a keyed service; keys are whole numbers from 0. */
export const KEY_COUNT = 65_536;

/** Keys from `from` to `to`, both included. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

/**
 * Tells whether two ranges share a key.
 *
 * @example
 * overlaps({ from: 0, to: 9 }, { from: 9, to: 12 }); // true
 */
export const overlaps = (left: KeyRange, right: KeyRange): boolean => (
  left.from <= right.to && right.from <= left.to
);

/**
 * Number of keys of a range.
 *
 * @example
 * keyCount({ from: 0, to: 9 }); // 10
 */
export const keyCount = ({ from, to }: KeyRange): number => to - from + 1;
