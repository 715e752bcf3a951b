import { build } from 'hdr-histogram-js';
import type { RequestClass } from '../contract/mod.ts';
import type { Answer } from './_load_arrivals.ts';

const UNITS_PER_MS = 1000;
const HIGHEST_MS = 3_600_000;

/** Answers to requests of one class. */
export const ofClass = (answers: readonly Answer[], requestClass: RequestClass) => (
  answers.filter(({ arrival }) => arrival.requestClass === requestClass)
);

/** Answers to requests that arrived within a period. */
export const arrivedWithin = (answers: readonly Answer[], fromMs: number, toMs: number) => (
  answers.filter(({ arrival }) => arrival.at >= fromMs && arrival.at < toMs)
);

/** Answers that ended within a period. */
export const endedWithin = (answers: readonly Answer[], fromMs: number, toMs: number) => (
  answers.filter(({ endedAt }) => endedAt >= fromMs && endedAt < toMs)
);

/** Successful answers that ended before the deadline. */
export const inTime = (answers: readonly Answer[]) => answers.filter(({
  arrival, outcome, endedAt,
}) => outcome === 'success' && endedAt <= arrival.deadlineAt);

/**
 * 99th percentile in ms of the time from arrival to the end of the answer. A request without a
 * successful answer counts as an hour; `null` when the percentile falls on one of these.
 */
export const p99 = (answers: readonly Answer[]): number | null => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 4,
  });
  for (const { arrival, outcome, endedAt } of answers) {
    const durationMs = outcome === 'success' ? endedAt - arrival.at : HIGHEST_MS;
    const units = Math.max(1, Math.round(durationMs * UNITS_PER_MS));
    histogram.recordValue(Math.min(units, HIGHEST_MS * UNITS_PER_MS));
  }
  const units = histogram.getValueAtPercentile(99);
  return units >= HIGHEST_MS * UNITS_PER_MS ? null : units / UNITS_PER_MS;
};

/** Total work in ms. */
export const workOf = (answers: readonly Answer[]) => (
  answers.reduce((sum, { arrival }) => sum + arrival.workMs, 0)
);

/** Refusals as `not run` of requests that an instance did start. */
export const countFalseNotRun = (
  answers: readonly Answer[],
  executions: (id: number) => number,
) => answers.filter(({ arrival, outcome }) => (
  outcome === 'not run' && executions(arrival.id) > 0
)).length;

/** Submissions that were started more than once. */
export const countRepeatedSubmissions = (
  answers: readonly Answer[],
  executions: (id: number) => number,
) => ofClass(answers, 'submission').filter(({ arrival }) => executions(arrival.id) > 1).length;
