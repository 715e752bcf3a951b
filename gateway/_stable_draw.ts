/** Transit and clocks move the deadline that a returning caller states by some ms. */
const DEADLINE_STEP_MS = 64;
/** A caller that waits for its Retry-After gets a new draw. */
const EPOCH_MS = 500;

/**
 * Returns a number from 0 to less than 1 that looks random, yet is the same for a caller that
 * returns at once: such a caller states the same deadline, as its remaining time has shrunk by
 * the time that has passed. With a new draw each time, many attempts would win over patience.
 *
 * @param deadlineAt Deadline of the request, monotonic in ms.
 * @param now Current monotonic time in ms.
 * @returns The number.
 *
 * @example
 * const isAdmitted = stableDraw(request.deadlineAt, clock.now()) < fraction;
 */
export const stableDraw = (deadlineAt: number, now: number): number => {
  // The fraction of a steep sine spreads neighbouring deadlines over the whole range.
  const angle = Math.floor(deadlineAt / DEADLINE_STEP_MS) * 12.9898
    + Math.floor(now / EPOCH_MS) * 78.233;
  const spread = Math.sin(angle) * 43_758.545_3;
  return spread - Math.floor(spread);
};
