/** Time that an instance takes for the requests of each work class; times are in ms. */
export interface WorkTimes {
  readonly meanOf: (workClass: string) => number;
  /** Time within which most runs of the class end. */
  readonly usualOf: (workClass: string) => number;
  readonly record: (workClass: string, durationMs: number) => void;
  /** Mean over all classes; undefined before the first run. */
  readonly overallMean: () => number | undefined;
}

interface ClassTimes {
  mean: number;
  /** Mean absolute deviation. */
  deviation: number;
}

/** Duration in ms assumed for a work class before it was measured. */
const DEFAULT_WORK_MS = 80;
const DEFAULT_DEVIATION_MS = 20;
/** Weight of one run in the figures of its class: the last 16 or so count. */
const RUN_WEIGHT = 0.06;
/** Weight of one run in the mean of all; the capacity that it gives decides about moves of keys. */
const OVERALL_RUN_WEIGHT = 0.02;
/** A run this many times as long as usual is a straggler and counts as one of this length. */
const MAX_STRAGGLER_FACTOR = 3;

/**
 * Creates the times of an instance that has run nothing.
 *
 * @returns The times.
 *
 * @example
 * times.record('lookup', 120);
 * const waitMs = times.meanOf('lookup') / slots;
 */
export const createWorkTimes = (): WorkTimes => {
  const classes = new Map<string, ClassTimes>();
  let samples = 0;
  let overall = 0;

  return {
    meanOf: (workClass) => classes.get(workClass)?.mean ?? DEFAULT_WORK_MS,
    usualOf: (workClass) => {
      const { mean, deviation } = classes.get(workClass)
        ?? { mean: DEFAULT_WORK_MS, deviation: DEFAULT_DEVIATION_MS };
      return mean + deviation;
    },
    record: (workClass, durationMs) => {
      const known = classes.get(workClass)
        ?? { mean: DEFAULT_WORK_MS, deviation: DEFAULT_DEVIATION_MS };
      const error = durationMs - known.mean;
      const bounded = Math.min(Math.abs(error), known.mean * MAX_STRAGGLER_FACTOR);
      classes.set(workClass, {
        mean: known.mean + error * RUN_WEIGHT,
        deviation: known.deviation + (bounded - known.deviation) * RUN_WEIGHT,
      });
      samples += 1;
      overall += (durationMs - overall) / Math.min(samples, 1 / OVERALL_RUN_WEIGHT);
    },
    overallMean: () => (samples === 0 ? undefined : overall),
  };
};
