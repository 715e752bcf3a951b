/** Moving averages of the processing time of each work class. Times are in ms. */
export interface ProcessingTimes {
  /** Mean processing time of the class; a default before the first sample. */
  readonly meanOf: (workClass: string) => number;
  /** Mean plus mean absolute deviation: most requests of the class end within it. */
  readonly upperEstimateOf: (workClass: string) => number;
  readonly record: (workClass: string, durationMs: number) => void;
  /** Mean over all classes; undefined before the first sample. */
  readonly overallMean: () => number | undefined;
}

interface ClassEstimate {
  mean: number;
  /** Mean absolute deviation. */
  deviation: number;
}

/** Estimates for a work class without samples. */
const DEFAULT_MEAN_MS = 80;
const DEFAULT_DEVIATION_MS = 20;
/** Weight of a sample in the averages of its class: about the last 16 samples count. */
const SAMPLE_WEIGHT = 0.06;
/** Weight of a sample in the overall mean, which gives the capacity that moves of keys go by. */
const OVERALL_SAMPLE_WEIGHT = 0.02;
/** Caps the deviation of a straggler at this multiple of the class mean. */
const MAX_DEVIATION_FACTOR = 3;

/**
 * Creates the statistics without samples.
 *
 * @returns The statistics.
 *
 * @example
 * times.record('lookup', 120);
 * const waitMs = times.meanOf('lookup') / slots;
 */
export const createProcessingTimes = (): ProcessingTimes => {
  const classes = new Map<string, ClassEstimate>();
  let samples = 0;
  let overallMs = 0;

  return {
    meanOf: (workClass) => classes.get(workClass)?.mean ?? DEFAULT_MEAN_MS,
    upperEstimateOf: (workClass) => {
      const { mean, deviation } = classes.get(workClass)
        ?? { mean: DEFAULT_MEAN_MS, deviation: DEFAULT_DEVIATION_MS };
      return mean + deviation;
    },
    record: (workClass, durationMs) => {
      const previous = classes.get(workClass)
        ?? { mean: DEFAULT_MEAN_MS, deviation: DEFAULT_DEVIATION_MS };
      const error = durationMs - previous.mean;
      const cappedDeviation = Math.min(Math.abs(error), previous.mean * MAX_DEVIATION_FACTOR);
      classes.set(workClass, {
        mean: previous.mean + error * SAMPLE_WEIGHT,
        deviation: previous.deviation + (cappedDeviation - previous.deviation) * SAMPLE_WEIGHT,
      });
      samples += 1;
      overallMs += (durationMs - overallMs) / Math.min(samples, 1 / OVERALL_SAMPLE_WEIGHT);
    },
    overallMean: () => (samples === 0 ? undefined : overallMs),
  };
};
