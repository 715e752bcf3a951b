import type { Clock } from '../clock/mod.ts';

/** A request at which the instance of this host is at work. */
export interface Run {
  /** Monotonic time in ms at which it ends at the latest. */
  readonly deadlineAt: number;
}

/** The runs of the instance of this host, now and in the last seconds. */
export interface RunHistory {
  readonly start: (run: Run) => void;
  readonly end: (run: Run) => void;
  /** Returns the runs in progress. */
  readonly current: () => Iterable<Run>;
  /** Returns whether a request that expires after this time in ms can come from a run. */
  readonly isPossible: (remainingMs: number) => boolean;
  /** Returns -ln p of the probability that a request that is sent at any time fits a run. */
  readonly surprise: (remainingMs: number) => number;
}

/** Time in ms by which transit and a busy event loop delay the arrival of a call. */
export const MAX_TRANSIT_MS = 250;
/** Idle times of a busy instance last some tens of ms. */
const SAMPLE_INTERVAL_MS = 25;
/** 6.4 s, which contains calm and busy times of a service. */
const SAMPLE_COUNT = 256;
/** 1.6 s: at the begin of a load peak, the earlier calm must not count as evidence. */
const RECENT_SAMPLE_COUNT = 64;
/** At least four observations are needed, however idle the instance was before them. */
const MAX_SURPRISE = 1.5;

/** Returns whether a request can come from a run that has this time in ms left. */
export const canCover = (runMs: number, remainingMs: number): boolean => (
  runMs > -MAX_TRANSIT_MS && remainingMs <= runMs + MAX_TRANSIT_MS
);

/**
 * Creates a history without runs.
 *
 * @param clock Clock for the samples.
 * @returns The history.
 *
 * @example
 * history.start(run);
 * const isCall = history.isPossible(deadlineAt - clock.now());
 */
export const createRunHistory = (clock: Clock): RunHistory => {
  /** One instance has few slots. */
  const runs = new Set<Run>();
  /** Remaining times in ms of the longest run at regular intervals, as a ring. */
  const samples = new Float64Array(SAMPLE_COUNT);
  let sampleCount = 0;
  let nextSampleAt = clock.now();
  let latestDeadlineAt = -Infinity;

  /** Takes the samples that were due since the last change of the runs. */
  const takeSamples = (now: number) => {
    const missed = Math.floor((now - nextSampleAt) / SAMPLE_INTERVAL_MS) - SAMPLE_COUNT;
    if (missed > 0) nextSampleAt += missed * SAMPLE_INTERVAL_MS;
    for (; nextSampleAt <= now; nextSampleAt += SAMPLE_INTERVAL_MS) {
      samples[sampleCount % SAMPLE_COUNT] = latestDeadlineAt - nextSampleAt;
      sampleCount += 1;
    }
  };

  const updateLatest = () => {
    latestDeadlineAt = -Infinity;
    for (const { deadlineAt } of runs) latestDeadlineAt = Math.max(latestDeadlineAt, deadlineAt);
  };

  /** Fraction of the latest samples in which a run could have made such a request. */
  const fractionPossible = (remainingMs: number, count: number) => {
    const available = Math.min(count, sampleCount);
    let possible = 0;
    for (let age = 1; age <= available; age += 1) {
      const longestMs = samples[(sampleCount - age) % SAMPLE_COUNT]!;
      if (canCover(longestMs, remainingMs)) possible += 1;
    }
    // The present state, in which the request is possible, counts as a sample.
    return (possible + 1) / (available + 1);
  };

  return {
    start: (run) => {
      takeSamples(clock.now());
      runs.add(run);
      updateLatest();
    },
    end: (run) => {
      takeSamples(clock.now());
      if (runs.delete(run)) updateLatest();
    },
    current: () => runs,
    isPossible: (remainingMs) => canCover(latestDeadlineAt - clock.now(), remainingMs),
    surprise: (remainingMs) => {
      takeSamples(clock.now());
      return Math.min(MAX_SURPRISE, -Math.log(Math.max(
        fractionPossible(remainingMs, RECENT_SAMPLE_COUNT),
        fractionPossible(remainingMs, SAMPLE_COUNT),
      )));
    },
  };
};
