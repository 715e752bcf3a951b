/** Tells how long callers have been waiting since their first attempt. */
export interface CallerAge {
  /**
   * Notes the time that a caller has left and tells how much of it had passed before it came.
   *
   * @param route Name of the route.
   * @param leftMs Time in ms that the caller names.
   * @returns Least time in ms since the caller's first attempt; 0 for what may be a first attempt.
   */
  readonly ageMs: (route: string, leftMs: number) => number;
  /** Notes whether a request of the route was refused, so that its caller may return. */
  readonly noteEnd: (route: string, wasRefused: boolean) => void;
}

interface RouteCallers {
  /** Times that callers named while few were refused, the newest last. */
  readonly firstTimes: number[];
  /** Fraction of recent requests that were refused. */
  refusedShare: number;
  /** Least time that first attempts name; 0 before enough are known. */
  leastFirstMs: number;
  learned: number;
}

/** While more requests than this are refused, callers that return are among the new ones. */
const CALM_REFUSED_SHARE = 0.05;
const REFUSED_WEIGHT = 0.05;
const MAX_TIMES = 64;
const MIN_TIMES = 16;
/** The bound is derived again after so many new times. */
const LEARN_INTERVAL = 8;
/** Callers in a hurry, and those that return while few are refused, do not set the bound. */
const LEAST_QUANTILE = 0.2;
/** A caller that lacks less than this part of the bound may be at its first attempt. */
const MIN_AGE_FRACTION = 0.1;

/**
 * Creates the ages of callers. A caller that returns after a refusal names what is left of its
 * time. The times of first attempts are learned while few requests are refused; what is less than
 * nearly all of them is the time of a returning caller.
 *
 * Answers the crest of a swing with returning callers: only the time since the first attempt tells
 * whose answer can still arrive by its target.
 *
 * @returns The ages.
 *
 * @example
 * const targetAt = arrivedAt - ages.ageMs('entries', 1400) + targetLatencyMs;
 */
export const createCallerAge = (): CallerAge => {
  const routes = new Map<string, RouteCallers>();

  const callersOf = (route: string): RouteCallers => {
    const known = routes.get(route);
    if (known !== undefined) return known;
    const callers = {
      firstTimes: [], refusedShare: 0, leastFirstMs: 0, learned: 0,
    };
    routes.set(route, callers);
    return callers;
  };

  const learn = (callers: RouteCallers, leftMs: number) => {
    const { firstTimes } = callers;
    firstTimes.push(leftMs);
    if (firstTimes.length > MAX_TIMES) firstTimes.shift();
    const learned = callers.learned + 1;
    Object.assign(callers, { learned });
    if (firstTimes.length < MIN_TIMES || learned % LEARN_INTERVAL !== 0) return;
    const sorted = [...firstTimes].sort((left, right) => left - right);
    const leastFirstMs = sorted[Math.floor(sorted.length * LEAST_QUANTILE)]!;
    Object.assign(callers, { leastFirstMs });
  };

  return {
    ageMs: (route, leftMs) => {
      const callers = callersOf(route);
      if (callers.refusedShare < CALM_REFUSED_SHARE) learn(callers, leftMs);
      const age = callers.leastFirstMs - leftMs;
      return age > callers.leastFirstMs * MIN_AGE_FRACTION ? age : 0;
    },
    noteEnd: (route, wasRefused) => {
      const callers = callersOf(route);
      callers.refusedShare += (Number(wasRefused) - callers.refusedShare) * REFUSED_WEIGHT;
    },
  };
};
