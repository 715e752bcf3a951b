/** Estimates how long ago the callers made the first attempt of their requests. */
export interface RequestAgeEstimator {
  /**
   * Records the remaining time of a request and estimates how long the caller has been trying.
   *
   * @param route Name of the route.
   * @param remainingMs Remaining time in ms that the caller sent with the request.
   * @returns Estimated time in ms since the first attempt; 0 if this may be the first attempt.
   */
  readonly ageMs: (route: string, remainingMs: number) => number;
}

interface RouteSamples {
  /** Latest remaining times in ms, the newest last. */
  readonly remainingTimes: number[];
  /** High percentile of the remaining times; 0 before there are enough samples. */
  highPercentileMs: number;
  sampleCount: number;
}

const MAX_SAMPLES = 64;
const MIN_SAMPLES = 16;
/** Requests between two computations of the percentile. */
const UPDATE_INTERVAL = 8;
/**
 * Below 1, so that a few callers with long timeouts do not determine the estimate. During overload
 * only a third of the requests are first attempts.
 */
const HIGH_QUANTILE = 0.9;
/** Minimum remaining time of a first attempt, relative to the percentile: callers vary by 15 %. */
const MIN_FIRST_FRACTION = 0.75;
/** Mean remaining time of first attempts, relative to the percentile. */
const MEAN_FIRST_FRACTION = 0.93;

/**
 * Creates an estimator without samples. A caller that retries after a refusal sends what remains of
 * its timeout, which is far less than the remaining time of first attempts on the same route.
 *
 * The age matters in load peaks with retries: only the time since the first attempt tells which
 * responses can still meet the latency target.
 *
 * @returns The estimator.
 *
 * @example
 * const latencyTargetAt = arrivedAt - ages.ageMs('entries', 1400) + targetLatencyMs;
 */
export const createRequestAgeEstimator = (): RequestAgeEstimator => {
  const routes = new Map<string, RouteSamples>();

  const samplesOf = (route: string): RouteSamples => {
    const known = routes.get(route);
    if (known !== undefined) return known;
    const samples = { remainingTimes: [], highPercentileMs: 0, sampleCount: 0 };
    routes.set(route, samples);
    return samples;
  };

  const record = (samples: RouteSamples, remainingMs: number) => {
    const { remainingTimes } = samples;
    remainingTimes.push(remainingMs);
    if (remainingTimes.length > MAX_SAMPLES) remainingTimes.shift();
    const sampleCount = samples.sampleCount + 1;
    Object.assign(samples, { sampleCount });
    if (remainingTimes.length < MIN_SAMPLES || sampleCount % UPDATE_INTERVAL !== 0) return;
    const sorted = [...remainingTimes].sort((left, right) => left - right);
    const highPercentileMs = sorted[Math.floor(sorted.length * HIGH_QUANTILE)]!;
    Object.assign(samples, { highPercentileMs });
  };

  return {
    ageMs: (route, remainingMs) => {
      const samples = samplesOf(route);
      record(samples, remainingMs);
      if (remainingMs >= samples.highPercentileMs * MIN_FIRST_FRACTION) return 0;
      return samples.highPercentileMs * MEAN_FIRST_FRACTION - remainingMs;
    },
  };
};
