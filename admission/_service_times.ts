import type { Clock } from '../clock/mod.ts';
import { type RequestClass, requestClasses } from '../contract/mod.ts';
import { createRotatingHistogram } from './rotating_histogram.ts';

/** Measured service times of the instance, per request class. */
export interface ServiceTimes {
  readonly record: (requestClass: RequestClass, durationMs: number) => void;
  readonly meanMs: (requestClass: RequestClass) => number;
  readonly medianMs: (requestClass: RequestClass) => number;
  /** Time in ms after which a request counts as long. */
  readonly longAfterMs: (requestClass: RequestClass) => number;
  /** Expected time in ms from dispatch to the start of the response. */
  readonly expectedMs: (requestClass: RequestClass) => number;
  /** Mean over all classes in ms; 0 until enough requests have completed. */
  readonly overallMeanMs: () => number;
}

interface ClassTimes {
  meanMs: number;
  samples: number;
  medianMs: number;
  highMs: number;
}

const DEFAULT_MEDIAN_MS: Readonly<Record<RequestClass, number>> = {
  check: 20, lookup: 50, submission: 100, bulk: 1000,
};
const MIN_SAMPLES = 20;
const REFRESH_SAMPLES = 16;
const MAX_MEAN_SAMPLES = 200;
const LONG_FACTOR = 4;
/** Below this, timer granularity would decide which requests are long. */
const MIN_LONG_MS = 2;
const HIGH_PERCENTILE = 95;

const updateMean = (mean: number, samples: number, value: number) => (
  mean + (value - mean) / Math.min(samples, MAX_MEAN_SAMPLES)
);

/** Creates service times that start at the defaults. */
export const createServiceTimes = (clock: Clock): ServiceTimes => {
  const histograms = new Map(requestClasses.map((name) => [name, createRotatingHistogram(clock)]));
  const times = new Map(requestClasses.map((name): [RequestClass, ClassTimes] => [name, {
    meanMs: DEFAULT_MEDIAN_MS[name],
    samples: 0,
    medianMs: DEFAULT_MEDIAN_MS[name],
    highMs: DEFAULT_MEDIAN_MS[name],
  }]));
  let overallMean = 0;
  let overallSamples = 0;

  const record: ServiceTimes['record'] = (requestClass, durationMs) => {
    const histogram = histograms.get(requestClass)!;
    const entry = times.get(requestClass)!;
    histogram.record(durationMs);
    overallSamples += 1;
    overallMean = updateMean(overallMean, overallSamples, durationMs);
    entry.samples += 1;
    entry.meanMs = updateMean(entry.meanMs, entry.samples, durationMs);
    const isRefreshDue = entry.samples >= MIN_SAMPLES && entry.samples % REFRESH_SAMPLES === 0;
    if (!isRefreshDue && entry.samples !== MIN_SAMPLES) return;
    entry.medianMs = histogram.percentile(50);
    entry.highMs = histogram.percentile(HIGH_PERCENTILE);
  };

  const longAfterMs = (requestClass: RequestClass) => (
    Math.max(MIN_LONG_MS, LONG_FACTOR * times.get(requestClass)!.medianMs)
  );

  return {
    record,
    meanMs: (requestClass) => times.get(requestClass)!.meanMs,
    medianMs: (requestClass) => times.get(requestClass)!.medianMs,
    longAfterMs,
    // The response of a bulk request starts long before it ends, so it needs no allowance.
    // The percentile is bounded, as stragglers would raise it without limit and miss their deadline
    // in any case.
    expectedMs: (requestClass) => (requestClass === 'bulk'
      ? 0
      : Math.min(times.get(requestClass)!.highMs, longAfterMs(requestClass))),
    overallMeanMs: () => (overallSamples < MIN_SAMPLES ? 0 : overallMean),
  };
};
