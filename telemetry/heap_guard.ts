import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Clock } from '../clock/mod.ts';
import type { Logger } from './logger.ts';

/** Size of the heap of V8 in bytes. */
export interface HeapUsage {
  /** Objects in use and garbage that has not been collected. */
  readonly usedBytes: number;
  /** Size beyond which V8 aborts the process. */
  readonly limitBytes: number;
}

/** Keeps the heap of the process from its limit, beyond which V8 aborts the process. */
export interface HeapGuard {
  /** Returns whether there is room for one more request; may collect garbage to find out. */
  readonly mayAccept: () => boolean;
  /** Returns whether requests are refused. */
  readonly isRefusing: () => boolean;
  /** Returns the used fraction of the heap, garbage included. */
  readonly usedFraction: () => number;
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
 * Used fraction of the heap from which requests are refused. V8 aborts the process from four fifths
 * on, if collections take most of its time, and the rest is for the requests in flight.
 */
const MAX_USED_FRACTION = 0.65;
/** A sample is used for this time and number of requests, since each costs some microseconds. */
const SAMPLE_AGE_MS = 10;
const REQUESTS_PER_SAMPLE = 16;
/** Least interval in ms of the collections that the guard causes, which stop the process. */
const MIN_COLLECT_INTERVAL_MS = 1000;
/** Keeps these collections to a tenth of the time on a slow or busy host. */
const COLLECT_INTERVAL_FACTOR = 10;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Reads the size of the heap of this process. */
export const readHeapUsage = (): HeapUsage => {
  const statistics = getHeapStatistics();
  return { usedBytes: statistics.used_heap_size, limitBytes: statistics.heap_size_limit };
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
 * process that refuses requests, so above the threshold the guard decides by what a collection
 * leaves.
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
  let sampledAt = clock.now();
  let requestsSinceSample = 0;
  let collectAt = -Infinity;
  let refusingSince: number | undefined;
  let refused = 0;

  const sample = () => {
    usage = readHeap();
    sampledAt = clock.now();
    requestsSinceSample = 0;
  };
  const usedFraction = () => usage.usedBytes / usage.limitBytes;
  const isAboveThreshold = () => usedFraction() >= MAX_USED_FRACTION;
  const refresh = () => {
    if (clock.now() - sampledAt >= SAMPLE_AGE_MS) sample();
  };

  const usageFields = () => ({
    usedMegabytes: Math.round(usage.usedBytes / BYTES_PER_MEGABYTE),
    limitMegabytes: Math.round(usage.limitBytes / BYTES_PER_MEGABYTE),
  });

  const collect = () => {
    const before = usageFields();
    const startedAt = clock.now();
    options.collectGarbage();
    sample();
    const durationMs = sampledAt - startedAt;
    collectAt = sampledAt + Math.max(MIN_COLLECT_INTERVAL_MS, durationMs * COLLECT_INTERVAL_FACTOR);
    logger.info({
      ...usageFields(),
      usedBeforeMegabytes: before.usedMegabytes,
      durationMs: Math.round(durationMs),
    }, 'collected garbage');
  };

  const accept = () => {
    if (refusingSince === undefined) return true;
    logger.warn({
      ...usageFields(), refused, lastedMs: Math.round(clock.now() - refusingSince),
    }, 'accepts requests again');
    refusingSince = undefined;
    refused = 0;
    return true;
  };

  return {
    mayAccept: () => {
      requestsSinceSample += 1;
      if (requestsSinceSample >= REQUESTS_PER_SAMPLE) sample();
      else refresh();
      if (!isAboveThreshold()) return accept();
      if (clock.now() >= collectAt) {
        collect();
        if (!isAboveThreshold()) return accept();
      }
      if (refusingSince === undefined) {
        refusingSince = clock.now();
        logger.warn(usageFields(), 'refuses requests: the heap is nearly full');
      }
      refused += 1;
      return false;
    },
    isRefusing: () => refusingSince !== undefined,
    usedFraction: () => {
      refresh();
      return usedFraction();
    },
  };
};
