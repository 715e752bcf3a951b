import type { Clock } from '../clock/mod.ts';
import type { LogFields, Logger } from './logger.ts';

/** Options of a rate-limited logger. */
export interface RateLimitedLoggerOptions {
  readonly clock: Clock;
  /** Info lines per second about requests. */
  readonly infoLinesPerSecond?: number;
  /** Warn and error lines per second about requests. */
  readonly warnLinesPerSecond?: number;
  /** Lines per second that are not about a request: state changes, dependencies, start and stop. */
  readonly stateLinesPerSecond?: number;
}

/** Token bucket with one token per line. */
interface TokenBucket {
  /** Takes a token. Returns false when there is none and the line has to be dropped. */
  readonly take: () => boolean;
  /** Returns the number of lines dropped since the last call. */
  readonly takeDroppedCount: () => number;
}

/** Covers every request of a lightly loaded host. Under more load, use the counters. */
const DEFAULT_INFO_LINES_PER_SECOND = 40;
/** Higher than for info, as refusals and failures matter more than successes. */
const DEFAULT_WARN_LINES_PER_SECOND = 60;
/** Separate from requests, so that a load spike does not hide changes of state. */
const DEFAULT_STATE_LINES_PER_SECOND = 20;
const DROP_REPORT_INTERVAL_MS = 5000;

const createTokenBucket = (clock: Clock, perSecond: number): TokenBucket => {
  let tokens = perSecond;
  let refilledAt = clock.now();
  let dropped = 0;
  return {
    take: () => {
      const now = clock.now();
      tokens = Math.min(perSecond, tokens + ((now - refilledAt) / 1000) * perSecond);
      refilledAt = now;
      if (tokens < 1) {
        dropped += 1;
        return false;
      }
      tokens -= 1;
      return true;
    },
    takeDroppedCount: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
  };
};

/**
 * Limits the lines per second of a logger, so that logs take little time during a load spike.
 * Dropped lines are counted and reported in a separate line. Lines with a `request` field and lines
 * about the state of the process have separate limits.
 *
 * @param logger The logger to limit.
 * @param options Clock and limits in lines per second.
 * @returns The rate-limited logger; the loggers of all components share its limits.
 *
 * @example
 * const logger = createRateLimitedLogger(createLogger('node'), { clock });
 */
export const createRateLimitedLogger = (
  logger: Logger,
  options: RateLimitedLoggerOptions,
): Logger => {
  const { clock } = options;
  const infoBucket = createTokenBucket(
    clock,
    options.infoLinesPerSecond ?? DEFAULT_INFO_LINES_PER_SECOND,
  );
  const warnBucket = createTokenBucket(
    clock,
    options.warnLinesPerSecond ?? DEFAULT_WARN_LINES_PER_SECOND,
  );
  const stateBucket = createTokenBucket(
    clock,
    options.stateLinesPerSecond ?? DEFAULT_STATE_LINES_PER_SECOND,
  );
  let reportedAt = clock.now();

  const reportDropped = () => {
    if (clock.now() - reportedAt < DROP_REPORT_INTERVAL_MS) return;
    reportedAt = clock.now();
    const info = infoBucket.takeDroppedCount();
    const warn = warnBucket.takeDroppedCount();
    const state = stateBucket.takeDroppedCount();
    if (info + warn + state > 0) logger.warn({ info, warn, state }, 'log lines were dropped');
  };

  const limit = (inner: Logger): Logger => {
    const write = (level: 'info' | 'warn' | 'error', requestBucket: TokenBucket) => (
      fields: LogFields,
      message: string,
    ) => {
      reportDropped();
      const bucket = 'request' in fields ? requestBucket : stateBucket;
      if (bucket.take()) inner[level](fields, message);
    };
    return {
      debug: inner.debug,
      info: write('info', infoBucket),
      warn: write('warn', warnBucket),
      error: write('error', warnBucket),
      forComponent: (part) => limit(inner.forComponent(part)),
    };
  };
  return limit(logger);
};
