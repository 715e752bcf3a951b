import { getHeapSpaceStatistics, getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { CancelTask, Clock } from '../clock/mod.ts';
import type { Logger } from './logger.ts';

/** Size of the heap of V8 in bytes. */
export interface HeapUsage {
  /** Objects of the old generation in use and its garbage that has not been collected. */
  readonly usedBytes: number;
  /** Size of the old generation beyond which V8 aborts the process. */
  readonly limitBytes: number;
}

/** Keeps the heap of the process from its limit, beyond which V8 aborts the process. */
export interface HeapGuard {
  /** Returns whether there is room for one more request. It never collects garbage itself. */
  readonly mayAccept: () => boolean;
  /** Returns whether requests are refused. */
  readonly isRefusing: () => boolean;
  /** Returns the used fraction of the heap, garbage included. */
  readonly usedFraction: () => number;
  /** Cancels the next collection. */
  readonly stop: () => void;
}

/** Options of a heap guard. */
export interface HeapGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly readHeap: () => HeapUsage;
  /** Collects all garbage before it returns. */
  readonly collectGarbage: () => void;
}

/**
 * Fraction of the heap from which requests are refused if it is in use after a full collection. V8
 * aborts the process from four fifths of the old generation on, if collections take most of its
 * time, and the rest is for the requests in flight.
 */
const MAX_SURVIVING_FRACTION = 0.65;
/**
 * Fraction of the heap from which requests are refused, garbage included, since all that was
 * allocated since the last full collection may be in use. It is below four fifths of the old
 * generation.
 */
const MAX_USED_FRACTION = 0.77;
/**
 * Used fraction from which a collection does not wait for its usual interval, so that garbage does
 * not reach the fraction from which requests are refused.
 */
const SOON_FULL_FRACTION = 0.72;
/** The old generation also shrinks by less than this fraction while it is swept. */
const MIN_COLLECTED_FRACTION = 0.01;
/** A sample is used for this time and number of requests, since each costs some microseconds. */
const SAMPLE_AGE_MS = 10;
const REQUESTS_PER_SAMPLE = 16;
/** Usual least interval in ms of the collections that the guard causes, which stop the process. */
const MIN_COLLECT_INTERVAL_MS = 1000;
/** Keeps these collections to a tenth of the time on a slow or busy host. */
const COLLECT_INTERVAL_FACTOR = 10;
const BYTES_PER_MEGABYTE = 1_048_576;
/** V8 collects the garbage of these often, without the rest of the heap. */
const YOUNG_SPACES: ReadonlySet<string> = new Set(['new_space', 'new_large_object_space']);

const OLD_SPACE_ARGUMENT = /^--max[-_]old[-_]space[-_]size=(\d+)$/u;

/** Without an argument for the old generation, the young one is a small part of the whole limit. */
const readLimitBytes = () => {
  const limitBytes = getHeapStatistics().heap_size_limit;
  for (const argument of process.execArgv) {
    const [, megabytes] = OLD_SPACE_ARGUMENT.exec(argument) ?? [];
    if (megabytes === undefined) continue;
    return Math.min(limitBytes, Number(megabytes) * BYTES_PER_MEGABYTE);
  }
  return limitBytes;
};

const LIMIT_BYTES = readLimitBytes();

/** Reads the size of the heap of this process. */
export const readHeapUsage = (): HeapUsage => {
  let usedBytes = 0;
  for (const space of getHeapSpaceStatistics()) {
    if (!YOUNG_SPACES.has(space.space_name)) usedBytes += space.space_used_size;
  }
  return { usedBytes, limitBytes: LIMIT_BYTES };
};

/** Returns a function that collects all garbage of this process before it returns. */
export const createGarbageCollector = (): (() => void) => {
  // New contexts have the function once the flag is set.
  setFlagsFromString('--expose-gc');
  const collect: unknown = runInNewContext('gc');
  setFlagsFromString('--no-expose-gc');
  return typeof collect === 'function' ? () => collect() : () => undefined;
};

/**
 * Creates a guard. Garbage counts as used until it is collected, and V8 may leave it for long in a
 * process that refuses requests, so the guard decides by what the last full collection has left,
 * and causes one in a turn of its own if the heap has grown since.
 *
 * @param options Clock, logger, reader of the size of the heap and collector.
 * @returns The guard, which accepts requests.
 *
 * @example
 * const guard = createHeapGuard({
 *   clock, logger, readHeap: readHeapUsage, collectGarbage: createGarbageCollector(),
 * });
 * if (!guard.mayAccept()) refuse();
 */
export const createHeapGuard = (options: HeapGuardOptions): HeapGuard => {
  const { clock, readHeap } = options;
  const logger = options.logger.forComponent('heap');
  let usage = readHeap();
  /** Upper bound of what was in use at the last full collection. */
  let survivingBytes = usage.usedBytes;
  let sampledAt = clock.now();
  let requestsSinceSample = 0;
  let collectAt = -Infinity;
  /** Earliest time of a collection that prevents a refusal. */
  let soonFullCollectAt = -Infinity;
  let scheduledAt = Infinity;
  let cancelCollection: CancelTask | undefined;
  let refusingSince: number | undefined;
  let refused = 0;

  const usageFields = () => ({
    usedMegabytes: Math.round(usage.usedBytes / BYTES_PER_MEGABYTE),
    limitMegabytes: Math.round(usage.limitBytes / BYTES_PER_MEGABYTE),
  });
  const usedFraction = () => usage.usedBytes / usage.limitBytes;
  const isNearlyFull = () => (
    survivingBytes / usage.limitBytes >= MAX_SURVIVING_FRACTION
    || usedFraction() >= MAX_USED_FRACTION
  );

  const sample = () => {
    const previousBytes = usage.usedBytes;
    usage = readHeap();
    sampledAt = clock.now();
    requestsSinceSample = 0;
    // Only a full collection shrinks the old generation by more.
    const collectedBytes = previousBytes - usage.usedBytes;
    const isCollected = collectedBytes >= usage.limitBytes * MIN_COLLECTED_FRACTION;
    survivingBytes = isCollected ? usage.usedBytes : Math.min(survivingBytes, usage.usedBytes);
  };
  const refresh = () => {
    if (clock.now() - sampledAt >= SAMPLE_AGE_MS) sample();
  };

  const updateRefusal = () => {
    const isRefusing = refusingSince !== undefined;
    if (isNearlyFull() === isRefusing) return;
    if (refusingSince === undefined) {
      refusingSince = clock.now();
      logger.warn(usageFields(), 'refuses requests: the heap is nearly full');
      return;
    }
    logger.warn({
      ...usageFields(), refused, lastedMs: Math.round(clock.now() - refusingSince),
    }, 'accepts requests again');
    refusingSince = undefined;
    refused = 0;
  };

  const collect = () => {
    const before = usageFields();
    const startedAt = clock.now();
    options.collectGarbage();
    sample();
    survivingBytes = usage.usedBytes;
    const durationMs = sampledAt - startedAt;
    soonFullCollectAt = sampledAt + durationMs * COLLECT_INTERVAL_FACTOR;
    collectAt = Math.max(sampledAt + MIN_COLLECT_INTERVAL_MS, soonFullCollectAt);
    logger.info({
      ...usageFields(),
      usedBeforeMegabytes: before.usedMegabytes,
      durationMs: Math.round(durationMs),
    }, 'collected garbage');
  };

  const nextCollectionAt = () => {
    // A collection frees little if the last one has left most in use.
    const isGarbage = survivingBytes / usage.limitBytes < MAX_SURVIVING_FRACTION;
    return isGarbage && usedFraction() >= SOON_FULL_FRACTION ? soonFullCollectAt : collectAt;
  };

  const scheduleCollection = () => {
    if (usedFraction() < MAX_SURVIVING_FRACTION) return;
    const at = nextCollectionAt();
    if (cancelCollection !== undefined && scheduledAt <= at) return;
    cancelCollection?.();
    scheduledAt = at;
    cancelCollection = clock.schedule(Math.max(0, at - clock.now()), () => {
      cancelCollection = undefined;
      sample();
      if (usedFraction() >= MAX_SURVIVING_FRACTION) collect();
      updateRefusal();
      // Without requests, only a further collection shows that there is room again.
      if (refusingSince !== undefined) scheduleCollection();
    });
  };

  return {
    mayAccept: () => {
      requestsSinceSample += 1;
      if (requestsSinceSample >= REQUESTS_PER_SAMPLE) sample();
      else refresh();
      scheduleCollection();
      updateRefusal();
      if (refusingSince === undefined) return true;
      refused += 1;
      return false;
    },
    isRefusing: () => refusingSince !== undefined,
    usedFraction: () => {
      refresh();
      return usedFraction();
    },
    stop: () => {
      cancelCollection?.();
      cancelCollection = undefined;
    },
  };
};
