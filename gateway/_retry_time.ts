import { stableDraw } from './_stable_draw.ts';

/**
 * Callers wait at most a third of their remaining time, and the caller listener adds up to a fifth
 * to the time: a longer one would end at the third for all of them, and bring them back together.
 */
const MAX_FRACTION = 0.27;
/**
 * Shortest time, as a fraction of the longest one. Callers return only twice, and those that return
 * early do so while the load peak goes on.
 */
const MIN_FRACTION = 0.6;
const MIN_RETRY_MS = 60;
/** Gives callers with neighbouring deadlines different times. */
const DEADLINE_SCALE = 1009;

/**
 * Returns the time after which a caller that was refused for want of room is to return. The times
 * are spread over what callers wait, so that the returns of a load peak meet the room that becomes
 * free in all of that time, and not again each other.
 *
 * @param deadlineAt Deadline of the request, monotonic in ms.
 * @param now Current monotonic time in ms.
 * @returns The time in ms.
 *
 * @example
 * refuseNotRun(reason, spreadRetryMs(request.deadlineAt, clock.now()), { step });
 */
export const spreadRetryMs = (deadlineAt: number, now: number): number => {
  const longestMs = (deadlineAt - now) * MAX_FRACTION;
  const draw = stableDraw(deadlineAt * DEADLINE_SCALE, now);
  return Math.max(MIN_RETRY_MS, longestMs * (MIN_FRACTION + (1 - MIN_FRACTION) * draw));
};
