import type { Clock } from '../clock/mod.ts';

/** Tells how long callers have been waiting since their first attempt. */
export interface CallerAge {
  /**
   * Notes the time that a caller has left and tells how much of it had passed before it came.
   *
   * @param route Name of the route.
   * @param leftMs Time in ms that the caller names.
   * @returns Time in ms since the caller's first attempt; 0 for a first attempt.
   */
  readonly ageMs: (route: string, leftMs: number) => number;
}

interface Deadlines {
  /** Recent requests by the time that they named. */
  readonly counts: Map<number, number>;
  halvedAt: number;
  usual: number;
}

/** The usual deadline follows a change of the callers within some of these intervals, in ms. */
const HALVING_INTERVAL_MS = 2000;
/** Distinct times that are counted for one route; returning callers name many. */
const MAX_TIMES = 256;
/** A time that so few callers named is not the usual one. */
const MIN_COUNT = 3;

/**
 * Creates the ages of callers. A caller that returns after a refusal names what is left of its
 * time, so the times of returning callers differ from each other, while those of first attempts
 * are alike. The most frequent one is taken for the time of a first attempt.
 *
 * Answers the crest of a swing with returning callers: only the time since the first attempt tells
 * whose answer can still arrive by its target.
 *
 * @param clock Clock.
 * @returns The ages.
 *
 * @example
 * const targetAt = arrivedAt - ages.ageMs('entries', 1400) + targetLatencyMs;
 */
export const createCallerAge = (clock: Clock): CallerAge => {
  const routes = new Map<string, Deadlines>();

  const halve = (deadlines: Deadlines) => {
    const now = clock.now();
    const { counts } = deadlines;
    if (now - deadlines.halvedAt < HALVING_INTERVAL_MS && counts.size < MAX_TIMES) return;
    Object.assign(deadlines, { halvedAt: now });
    for (const [time, count] of counts) {
      if (count < 2) counts.delete(time);
      else counts.set(time, count / 2);
    }
  };

  return {
    ageMs: (route, leftMs) => {
      const deadlines = routes.get(route) ?? {
        counts: new Map<number, number>(), halvedAt: clock.now(), usual: 0,
      };
      routes.set(route, deadlines);
      halve(deadlines);
      const count = (deadlines.counts.get(leftMs) ?? 0) + 1;
      deadlines.counts.set(leftMs, count);
      const usualCount = deadlines.counts.get(deadlines.usual) ?? 0;
      if (count >= MIN_COUNT && count >= usualCount) deadlines.usual = leftMs;
      return Math.max(0, deadlines.usual - leftMs);
    },
  };
};
