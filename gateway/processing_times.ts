import type { Clock } from '../clock/mod.ts';
import type { ClassWork } from '../ranges/mod.ts';

/** Moving averages of the processing time of each work class. Times are in ms. */
export interface ProcessingTimes {
  /** Mean processing time of the class; a default before the first sample. */
  readonly meanOf: (workClass: string) => number;
  /** Mean plus mean absolute deviation: most requests of the class end within it. */
  readonly upperEstimateOf: (workClass: string) => number;
  readonly record: (workClass: string, durationMs: number) => void;
  /** Mean over all classes; undefined before the first sample. */
  readonly overallMean: () => number | undefined;
  /** Runs and their durations by class, with a half-life of some seconds. */
  readonly recentWork: () => readonly ClassWork[];
}

interface ClassEstimate {
  mean: number;
  /** Mean absolute deviation. */
  deviation: number;
}

interface DecayingSum {
  runs: number;
  totalMs: number;
  decayedAt: number;
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
/** Half-life of a run in the recent work: the mix of requests changes within seconds. */
const WORK_HALF_LIFE_MS = 5000;
/** A class with fewer runs is dropped from the recent work. */
const MIN_RUNS = 0.1;

/**
 * Creates the statistics without samples.
 *
 * @param clock Monotonic clock for the decay of the recent work.
 * @returns The statistics.
 *
 * @example
 * times.record('lookup', 120);
 * const waitMs = times.meanOf('lookup') / slots;
 */
export const createProcessingTimes = (clock: Clock): ProcessingTimes => {
  const classes = new Map<string, ClassEstimate>();
  const recent = new Map<string, DecayingSum>();
  let samples = 0;
  let overallMs = 0;

  const decayed = ({ runs, totalMs, decayedAt }: DecayingSum) => {
    const factor = 2 ** ((decayedAt - clock.now()) / WORK_HALF_LIFE_MS);
    return { runs: runs * factor, totalMs: totalMs * factor };
  };

  const recordWork = (workClass: string, durationMs: number) => {
    const known = recent.get(workClass);
    const { runs, totalMs } = known === undefined ? { runs: 0, totalMs: 0 } : decayed(known);
    recent.set(workClass, {
      runs: runs + 1, totalMs: totalMs + durationMs, decayedAt: clock.now(),
    });
  };

  return {
    meanOf: (workClass) => classes.get(workClass)?.mean ?? DEFAULT_MEAN_MS,
    upperEstimateOf: (workClass) => {
      const { mean, deviation } = classes.get(workClass)
        ?? { mean: DEFAULT_MEAN_MS, deviation: DEFAULT_DEVIATION_MS };
      return mean + deviation;
    },
    record: (workClass, durationMs) => {
      recordWork(workClass, durationMs);
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
    recentWork: () => {
      const work: ClassWork[] = [];
      for (const [workClass, sum] of recent) {
        const { runs, totalMs } = decayed(sum);
        if (runs < MIN_RUNS) recent.delete(workClass);
        else work.push({ workClass, runs, totalMs });
      }
      return work;
    },
  };
};
