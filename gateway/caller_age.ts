/** Tells how long callers have been waiting since their first attempt. */
export interface CallerAge {
  /**
   * Notes the time that a caller has left and tells how much of it had passed before it came.
   *
   * @param route Name of the route.
   * @param leftMs Time in ms that the caller names.
   * @returns Estimated time in ms since the first attempt; 0 for what may be a first attempt.
   */
  readonly ageMs: (route: string, leftMs: number) => number;
}

interface RouteCallers {
  /** Times that callers named, the newest last. */
  readonly times: number[];
  /** Time that nearly all callers name at most; 0 before enough are known. */
  longestMs: number;
  seen: number;
}

const MAX_TIMES = 64;
const MIN_TIMES = 16;
/** The longest time is derived again after so many requests. */
const LEARN_INTERVAL = 8;
/** A few patient callers do not set the longest time. Of overloaded requests, a third are first. */
const LONGEST_QUANTILE = 0.9;
/** First attempts name at least this part of the longest time; callers differ by 15 %. */
const FIRST_ATTEMPT_FRACTION = 0.75;
/** First attempts name this part of the longest time in the mean. */
const MEAN_FIRST_FRACTION = 0.93;

/**
 * Creates the ages of callers. A caller that returns after a refusal names what is left of its
 * time, which is far less than the longest time that callers of the route name.
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
    const callers = { times: [], longestMs: 0, seen: 0 };
    routes.set(route, callers);
    return callers;
  };

  const learn = (callers: RouteCallers, leftMs: number) => {
    const { times } = callers;
    times.push(leftMs);
    if (times.length > MAX_TIMES) times.shift();
    const seen = callers.seen + 1;
    Object.assign(callers, { seen });
    if (times.length < MIN_TIMES || seen % LEARN_INTERVAL !== 0) return;
    const sorted = [...times].sort((left, right) => left - right);
    const longestMs = sorted[Math.floor(sorted.length * LONGEST_QUANTILE)]!;
    Object.assign(callers, { longestMs });
  };

  return {
    ageMs: (route, leftMs) => {
      const callers = callersOf(route);
      learn(callers, leftMs);
      if (leftMs >= callers.longestMs * FIRST_ATTEMPT_FRACTION) return 0;
      return callers.longestMs * MEAN_FIRST_FRACTION - leftMs;
    },
  };
};
