import { build, type Histogram } from 'hdr-histogram-js';
import type { Clock } from '../clock/mod.ts';

/** Durations of the recent past. */
export interface RotatingHistogram {
  readonly record: (durationMs: number) => void;
  /** Number of durations that the percentiles rest on. */
  readonly count: () => number;
  /** Percentile in ms, `percent` from 0 to 100; 0 while nothing was recorded. */
  readonly percentile: (percent: number) => number;
}

/** Options of a rotating histogram. */
export interface RotatingHistogramOptions {
  /** A duration counts for one to two windows. */
  readonly windowMs?: number;
}

const DEFAULT_WINDOW_MS = 5000;
const UNITS_PER_MS = 100;
const HIGHEST_MS = 3_600_000;
/** A new window counts by itself once it holds this many durations. */
const FULL_WINDOW_COUNT = 100;

const createWindow = (): Histogram => build({
  lowestDiscernibleValue: 1,
  highestTrackableValue: HIGHEST_MS * UNITS_PER_MS,
  numberOfSignificantValueDigits: 2,
});

/**
 * Creates a histogram that forgets durations after one to two windows.
 *
 * @param clock Clock for the rotation.
 * @param options Length of a window.
 * @returns The histogram, empty.
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
    const retired = previous;
    previous = current;
    current = retired;
    current.reset();
    // Everything is out of date after two windows without a record.
    if (elapsed >= 2 * windowMs) previous.reset();
    rotatedAt = clock.now();
  };

  const chosen = () => {
    rotate();
    const isFull = current.totalCount >= Math.min(FULL_WINDOW_COUNT, previous.totalCount);
    return isFull ? current : previous;
  };

  return {
    record: (durationMs) => {
      rotate();
      const units = Math.round(durationMs * UNITS_PER_MS);
      current.recordValue(Math.min(Math.max(1, units), HIGHEST_MS * UNITS_PER_MS));
    },
    count: () => chosen().totalCount,
    percentile: (percent) => {
      const histogram = chosen();
      if (histogram.totalCount === 0) return 0;
      return histogram.getValueAtPercentile(percent) / UNITS_PER_MS;
    },
  };
};
