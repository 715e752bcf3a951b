/** Number of keys of a keyed service; keys are integers from 0. */
export const KEY_COUNT = 65_536;

/** Keys from `from` to `to`, inclusive. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

/**
 * Reports whether two ranges have a key in common.
 *
 * @example
 * overlaps({ from: 0, to: 9 }, { from: 9, to: 12 }); // true
 */
export const overlaps = (left: KeyRange, right: KeyRange): boolean => (
  left.from <= right.to && right.from <= left.to
);

/**
 * Returns the number of keys in a range.
 *
 * @example
 * keyCount({ from: 0, to: 9 }); // 10
 */
export const keyCount = ({ from, to }: KeyRange): number => to - from + 1;
