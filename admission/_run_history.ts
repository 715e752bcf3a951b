import type { Clock } from '../clock/mod.ts';

/** Where a run comes from: a caller or nested call of this host, or another node. */
export type RunOrigin = 'host' | 'peer';

/** A request at which the instance of this host is at work. */
export interface Run {
  /** Monotonic time in ms at which it ends at the latest. */
  readonly deadlineAt: number;
  readonly origin: RunOrigin;
  /** Whether it succeeded; undefined while its response is awaited. */
  isSuccess?: boolean;
  /** Monotonic time in ms at which its response ended. */
  endedAt?: number;
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
  /**
   * The same for a caller who knows the runs that this host began: only runs of other nodes count,
   * and only at times without a run of this host.
   */
  readonly peerSurprise: (remainingMs: number) => number;
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
/** A caller learns of the end of its run, at which a queued run of another node may start. */
const HOST_RUN_ECHO_MS = 250;

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
  /** The same for the runs of other nodes; NaN beside a run of this host. */
  const peerSamples = new Float64Array(SAMPLE_COUNT);
  let sampleCount = 0;
  let nextSampleAt = clock.now();
  let latestDeadlineAt = -Infinity;
  let latestPeerDeadlineAt = -Infinity;
  let hostRuns = 0;
  let hostRunEndedAt = -Infinity;

  const isHostRunKnown = (at: number) => hostRuns > 0 || at <= hostRunEndedAt + HOST_RUN_ECHO_MS;

  /** Takes the samples that were due since the last change of the runs. */
  const takeSamples = (now: number) => {
    const missed = Math.floor((now - nextSampleAt) / SAMPLE_INTERVAL_MS) - SAMPLE_COUNT;
    if (missed > 0) nextSampleAt += missed * SAMPLE_INTERVAL_MS;
    for (; nextSampleAt <= now; nextSampleAt += SAMPLE_INTERVAL_MS) {
      samples[sampleCount % SAMPLE_COUNT] = latestDeadlineAt - nextSampleAt;
      peerSamples[sampleCount % SAMPLE_COUNT] = isHostRunKnown(nextSampleAt)
        ? Number.NaN : latestPeerDeadlineAt - nextSampleAt;
      sampleCount += 1;
    }
  };

  const updateLatest = () => {
    latestDeadlineAt = -Infinity;
    latestPeerDeadlineAt = -Infinity;
    for (const { deadlineAt, origin } of runs) {
      latestDeadlineAt = Math.max(latestDeadlineAt, deadlineAt);
      if (origin === 'peer') latestPeerDeadlineAt = Math.max(latestPeerDeadlineAt, deadlineAt);
    }
  };

  /** Larger of the fractions of recent and of all samples in which a run could have made it. */
  const fractionPossible = (ring: Float64Array, remainingMs: number) => {
    const count = Math.min(SAMPLE_COUNT, sampleCount);
    const leastMs = remainingMs - MAX_TRANSIT_MS;
    let unknown = 0;
    let possible = 0;
    let recent = 0;
    for (let age = 1; age <= count; age += 1) {
      const longestMs = ring[(sampleCount - age) % SAMPLE_COUNT]!;
      if (longestMs > -MAX_TRANSIT_MS && longestMs >= leastMs) possible += 1;
      else if (Number.isNaN(longestMs)) unknown += 1;
      // The present state, in which the request is possible, counts as a sample.
      if (age === RECENT_SAMPLE_COUNT) recent = (possible + 1) / (age - unknown + 1);
    }
    return Math.max(recent, (possible + 1) / (count - unknown + 1));
  };

  const surpriseIn = (ring: Float64Array, remainingMs: number) => {
    takeSamples(clock.now());
    return Math.min(MAX_SURPRISE, -Math.log(fractionPossible(ring, remainingMs)));
  };

  return {
    start: (run) => {
      takeSamples(clock.now());
      runs.add(run);
      if (run.origin === 'host') hostRuns += 1;
      updateLatest();
    },
    end: (run) => {
      takeSamples(clock.now());
      if (!runs.delete(run)) return;
      if (run.origin === 'host') {
        hostRuns -= 1;
        hostRunEndedAt = clock.now();
      }
      updateLatest();
    },
    current: () => runs,
    isPossible: (remainingMs) => canCover(latestDeadlineAt - clock.now(), remainingMs),
    surprise: (remainingMs) => surpriseIn(samples, remainingMs),
    peerSurprise: (remainingMs) => (
      isHostRunKnown(clock.now()) ? 0 : surpriseIn(peerSamples, remainingMs)
    ),
  };
};
