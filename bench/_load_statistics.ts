import { build } from 'hdr-histogram-js';
import type { RequestClass } from '../contract/mod.ts';
import type { RequestResult } from './_load_generator.ts';

const US_PER_MS = 1000;
const MAX_LATENCY_MS = 3_600_000;

/** Selects results of requests of one class. */
export const selectClass = (results: readonly RequestResult[], requestClass: RequestClass) => (
  results.filter(({ arrival }) => arrival.requestClass === requestClass)
);

/** Selects results of requests that arrived within a period. */
export const selectArrivedWithin = (
  results: readonly RequestResult[],
  fromMs: number,
  toMs: number,
) => (
  results.filter(({ arrival }) => arrival.arrivedAt >= fromMs && arrival.arrivedAt < toMs)
);

/** Selects results that ended within a period. */
export const selectEndedWithin = (
  results: readonly RequestResult[],
  fromMs: number,
  toMs: number,
) => (
  results.filter(({ endedAt }) => endedAt >= fromMs && endedAt < toMs)
);

/** Selects successful results that ended by the deadline. */
export const selectInTime = (results: readonly RequestResult[]) => results.filter(({
  arrival, outcome, endedAt,
}) => outcome === 'success' && endedAt <= arrival.deadlineAt);

/**
 * Returns the 99th percentile in ms of the latency from arrival to the end of the response. A
 * request without success counts as one hour; `null` if the percentile falls on such a request.
 */
export const p99LatencyMs = (results: readonly RequestResult[]): number | null => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS * US_PER_MS,
    numberOfSignificantValueDigits: 4,
  });
  for (const { arrival, outcome, endedAt } of results) {
    const latencyMs = outcome === 'success' ? endedAt - arrival.arrivedAt : MAX_LATENCY_MS;
    const latencyUs = Math.max(1, Math.round(latencyMs * US_PER_MS));
    histogram.recordValue(Math.min(latencyUs, MAX_LATENCY_MS * US_PER_MS));
  }
  const latencyUs = histogram.getValueAtPercentile(99);
  return latencyUs >= MAX_LATENCY_MS * US_PER_MS ? null : latencyUs / US_PER_MS;
};

/** Sums the service times in ms. */
export const sumServiceTimeMs = (results: readonly RequestResult[]) => (
  results.reduce((sum, { arrival }) => sum + arrival.serviceTimeMs, 0)
);

/** Counts results of `not run` for requests that an instance did start. */
export const countFalseNotRun = (
  results: readonly RequestResult[],
  executions: (id: number) => number,
) => results.filter(({ arrival, outcome }) => (
  outcome === 'not run' && executions(arrival.id) > 0
)).length;

/** Counts submissions that were started more than once. */
export const countRepeatedSubmissions = (
  results: readonly RequestResult[],
  executions: (id: number) => number,
) => selectClass(results, 'submission').filter(({ arrival }) => executions(arrival.id) > 1).length;
