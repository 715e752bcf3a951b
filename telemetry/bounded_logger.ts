import type { Clock } from '../clock/mod.ts';
import type { LogFields, Logger } from './logger.ts';

/** Options of a bounded logger. */
export interface BoundedLoggerOptions {
  readonly clock: Clock;
  /** Lines a second of level info. */
  readonly infoPerSecond?: number;
  /** Lines a second of level warn and error. */
  readonly warnPerSecond?: number;
}

interface Budget {
  readonly perSecond: number;
  tokens: number;
  filledAt: number;
  dropped: number;
}

/** Enough for each request of a quiet host; beyond that the counters tell the rest. */
const DEFAULT_INFO_PER_SECOND = 40;
/** Refusals and failures come before successes. */
const DEFAULT_WARN_PER_SECOND = 60;
const SUMMARY_INTERVAL_MS = 5000;

/**
 * Bounds the lines of a logger, so that a crest of load does not spend its time on logs. Dropped
 * lines are counted and told in a line of their own.
 *
 * @param logger The logger to bound.
 * @param options Clock and lines a second.
 * @returns The bounded logger; its parts share the budget.
 *
 * @example
 * const logger = createBoundedLogger(createLogger('node'), { clock });
 */
export const createBoundedLogger = (logger: Logger, options: BoundedLoggerOptions): Logger => {
  const { clock } = options;
  const budget = (perSecond: number): Budget => ({
    perSecond, tokens: perSecond, filledAt: clock.now(), dropped: 0,
  });
  const infos = budget(options.infoPerSecond ?? DEFAULT_INFO_PER_SECOND);
  const warnings = budget(options.warnPerSecond ?? DEFAULT_WARN_PER_SECOND);
  let summarisedAt = clock.now();

  const summarise = () => {
    if (clock.now() - summarisedAt < SUMMARY_INTERVAL_MS) return;
    summarisedAt = clock.now();
    if (infos.dropped + warnings.dropped === 0) return;
    logger.warn({ info: infos.dropped, warn: warnings.dropped }, 'log lines were dropped');
    infos.dropped = 0;
    warnings.dropped = 0;
  };

  const take = (from: Budget): boolean => {
    const now = clock.now();
    const filled = from.tokens + ((now - from.filledAt) / 1000) * from.perSecond;
    from.tokens = Math.min(from.perSecond, filled);
    from.filledAt = now;
    summarise();
    if (from.tokens < 1) {
      from.dropped += 1;
      return false;
    }
    from.tokens -= 1;
    return true;
  };

  const wrap = (inner: Logger): Logger => {
    const write = (level: 'info' | 'warn' | 'error', from: Budget) => (
      fields: LogFields,
      sentence: string,
    ) => {
      if (take(from)) inner[level](fields, sentence);
    };
    return {
      debug: inner.debug,
      info: write('info', infos),
      warn: write('warn', warnings),
      error: write('error', warnings),
      forPart: (part) => wrap(inner.forPart(part)),
    };
  };
  return wrap(logger);
};
