import type { Clock } from '../clock/mod.ts';
import { type RequestClass, requestClasses } from '../contract/mod.ts';
import { createRotatingHistogram } from './rotating_histogram.ts';

/** Measured service times of the instance, per class. */
export interface ServiceTimes {
  readonly record: (requestClass: RequestClass, durationMs: number) => void;
  readonly meanMs: (requestClass: RequestClass) => number;
  readonly medianMs: (requestClass: RequestClass) => number;
  /** Time after which a request counts as long. */
  readonly longAfterMs: (requestClass: RequestClass) => number;
  /** Time to leave for an answer when a request is dispatched. */
  readonly expectedMs: (requestClass: RequestClass) => number;
  /** Mean over all classes; 0 before enough requests have ended. */
  readonly overallMeanMs: () => number;
}

interface ClassTimes {
  mean: number;
  samples: number;
  median: number;
  high: number;
}

const DEFAULT_MEDIAN_MS: Readonly<Record<RequestClass, number>> = {
  check: 20, lookup: 50, submission: 100, bulk: 1000,
};
const MIN_SAMPLES = 20;
const REFRESH_SAMPLES = 16;
const MEAN_SAMPLES = 200;
const LONG_FACTOR = 4;
/** Below this, the granularity of timers would decide what is long. */
const MIN_LONG_MS = 2;
const HIGH_PERCENT = 95;

const moveMean = (mean: number, samples: number, value: number) => (
  mean + (value - mean) / Math.min(samples, MEAN_SAMPLES)
);

/** Creates service times without measurements. */
export const createServiceTimes = (clock: Clock): ServiceTimes => {
  const histograms = new Map(requestClasses.map((name) => [name, createRotatingHistogram(clock)]));
  const times = new Map(requestClasses.map((name): [RequestClass, ClassTimes] => [name, {
    mean: DEFAULT_MEDIAN_MS[name],
    samples: 0,
    median: DEFAULT_MEDIAN_MS[name],
    high: DEFAULT_MEDIAN_MS[name],
  }]));
  let overallMean = 0;
  let overallSamples = 0;

  const record: ServiceTimes['record'] = (requestClass, durationMs) => {
    const histogram = histograms.get(requestClass)!;
    const entry = times.get(requestClass)!;
    histogram.record(durationMs);
    overallSamples += 1;
    overallMean = moveMean(overallMean, overallSamples, durationMs);
    entry.samples += 1;
    entry.mean = moveMean(entry.mean, entry.samples, durationMs);
    const isRefreshed = entry.samples >= MIN_SAMPLES && entry.samples % REFRESH_SAMPLES === 0;
    if (!isRefreshed && entry.samples !== MIN_SAMPLES) return;
    entry.median = histogram.percentile(50);
    entry.high = histogram.percentile(HIGH_PERCENT);
  };

  const longAfterMs = (requestClass: RequestClass) => (
    Math.max(MIN_LONG_MS, LONG_FACTOR * times.get(requestClass)!.median)
  );

  return {
    record,
    meanMs: (requestClass) => times.get(requestClass)!.mean,
    medianMs: (requestClass) => times.get(requestClass)!.median,
    longAfterMs,
    // The answer of a bulk request has begun long before it ends, so no time is left for it.
    // Stragglers would raise the percentile without bound; they miss their deadline in any case.
    expectedMs: (requestClass) => (requestClass === 'bulk'
      ? 0
      : Math.min(times.get(requestClass)!.high, longAfterMs(requestClass))),
    overallMeanMs: () => (overallSamples < MIN_SAMPLES ? 0 : overallMean),
  };
};
