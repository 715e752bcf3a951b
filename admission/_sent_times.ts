/** Times of the latest requests that were sent, and requests that are about to be sent. */
export interface SentTimes {
  readonly addPending: () => void;
  readonly removePending: () => void;
  readonly record: (at: number) => void;
  /**
   * Returns the time of the latest request but `count - 1`, where pending requests are the latest:
   * fewer than `count` requests were sent after it. Infinity if all `count` are pending.
   */
  readonly nthLatest: (count: number) => number;
}

/** Bounds the memory; a larger count is taken for this one, which only makes the limit stricter. */
const MAX_TIMES = 1024;

/**
 * Creates a list of fixed size. Each operation takes constant time.
 *
 * @param initialAt Time in ms that stands for all earlier requests.
 * @returns The list.
 *
 * @example
 * const times = createSentTimes(clock.now());
 * times.record(clock.now());
 */
export const createSentTimes = (initialAt: number): SentTimes => {
  const times = new Float64Array(MAX_TIMES).fill(initialAt);
  let next = 0;
  let pending = 0;

  return {
    addPending: () => {
      pending += 1;
    },
    removePending: () => {
      pending -= 1;
    },
    record: (at) => {
      times[next] = at;
      next = (next + 1) % MAX_TIMES;
    },
    nthLatest: (count) => {
      const index = Math.min(count, MAX_TIMES) - pending;
      return index <= 0 ? Infinity : times[(next - index + MAX_TIMES) % MAX_TIMES]!;
    },
  };
};
