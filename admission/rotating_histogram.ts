import { build, type Histogram } from 'hdr-histogram-js';
import type { Clock } from '../clock/mod.ts';

/** Percentiles of recent durations. */
export interface RotatingHistogram {
  readonly record: (durationMs: number) => void;
  /** Number of durations from which the percentiles are computed. */
  readonly count: () => number;
  /** Percentile in ms, with `percent` in [0, 100]; 0 without durations. */
  readonly percentile: (percent: number) => number;
}

/** Options of a rotating histogram. */
export interface RotatingHistogramOptions {
  /** Length of a window in ms; a duration is dropped after one to two windows. */
  readonly windowMs?: number;
}

const DEFAULT_WINDOW_MS = 5000;
const UNITS_PER_MS = 100;
const MAX_DURATION_MS = 3_600_000;
/** The current window is used once it holds this many durations, or as many as the previous. */
const MIN_WINDOW_COUNT = 100;

const createWindow = (): Histogram => build({
  lowestDiscernibleValue: 1,
  highestTrackableValue: MAX_DURATION_MS * UNITS_PER_MS,
  numberOfSignificantValueDigits: 2,
});

/**
 * Creates a histogram of two windows that drops durations after one to two windows.
 *
 * @param clock Clock for the rotation.
 * @param options Length of a window.
 * @returns An empty histogram.
 *
 * @example
 * const histogram = createRotatingHistogram(clock, { windowMs: 5000 });
 * histogram.record(12.5);
 * const p95 = histogram.percentile(95);
 */
export const createRotatingHistogram = (
  clock: Clock,
  options: RotatingHistogramOptions = {},
): RotatingHistogram => {
  const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
  let current = createWindow();
  let previous = createWindow();
  let rotatedAt = clock.now();

  const rotate = () => {
    const elapsed = clock.now() - rotatedAt;
    if (elapsed < windowMs) return;
    const expired = previous;
    previous = current;
    current = expired;
    current.reset();
    // After two windows without a record, the previous window is out of date too.
    if (elapsed >= 2 * windowMs) previous.reset();
    rotatedAt = clock.now();
  };

  const selectWindow = () => {
    rotate();
    const isFull = current.totalCount >= Math.min(MIN_WINDOW_COUNT, previous.totalCount);
    return isFull ? current : previous;
  };

  return {
    record: (durationMs) => {
      rotate();
      const units = Math.round(durationMs * UNITS_PER_MS);
      current.recordValue(Math.min(Math.max(1, units), MAX_DURATION_MS * UNITS_PER_MS));
    },
    count: () => selectWindow().totalCount,
    percentile: (percent) => {
      const histogram = selectWindow();
      if (histogram.totalCount === 0) return 0;
      return histogram.getValueAtPercentile(percent) / UNITS_PER_MS;
    },
  };
};
