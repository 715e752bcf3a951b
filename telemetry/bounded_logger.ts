import type { Clock } from '../clock/mod.ts';
import type { LogFields, Logger } from './logger.ts';

/** Options of a bounded logger. */
export interface BoundedLoggerOptions {
  readonly clock: Clock;
  /** Lines a second of level info about requests. */
  readonly infoPerSecond?: number;
  /** Lines a second of level warn and error about requests. */
  readonly warnPerSecond?: number;
  /** Lines a second about anything but a request: beliefs, dependencies, start and stop. */
  readonly statePerSecond?: number;
}

interface Budget {
  /** Takes one line; false when it has to be dropped. */
  readonly take: () => boolean;
  /** Lines dropped since the last call. */
  readonly takeDropped: () => number;
}

/** Enough for each request of a quiet host; beyond that the counters tell the rest. */
const DEFAULT_INFO_PER_SECOND = 40;
/** Refusals and failures come before successes. */
const DEFAULT_WARN_PER_SECOND = 60;
/** A crest of requests must not hide what the process came to believe meanwhile. */
const DEFAULT_STATE_PER_SECOND = 20;
const SUMMARY_INTERVAL_MS = 5000;

const createBudget = (clock: Clock, perSecond: number): Budget => {
  let tokens = perSecond;
  let filledAt = clock.now();
  let dropped = 0;
  return {
    take: () => {
      const now = clock.now();
      tokens = Math.min(perSecond, tokens + ((now - filledAt) / 1000) * perSecond);
      filledAt = now;
      if (tokens < 1) {
        dropped += 1;
        return false;
      }
      tokens -= 1;
      return true;
    },
    takeDropped: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
  };
};

/**
 * Bounds the lines of a logger, so that a crest of load does not spend its time on logs. Dropped
 * lines are counted and told in a line of their own. Lines that name a request have budgets apart
 * from those about the state of the process.
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
  const infos = createBudget(clock, options.infoPerSecond ?? DEFAULT_INFO_PER_SECOND);
  const warnings = createBudget(clock, options.warnPerSecond ?? DEFAULT_WARN_PER_SECOND);
  const states = createBudget(clock, options.statePerSecond ?? DEFAULT_STATE_PER_SECOND);
  let summarisedAt = clock.now();

  const summarise = () => {
    if (clock.now() - summarisedAt < SUMMARY_INTERVAL_MS) return;
    summarisedAt = clock.now();
    const info = infos.takeDropped();
    const warn = warnings.takeDropped();
    const state = states.takeDropped();
    if (info + warn + state > 0) logger.warn({ info, warn, state }, 'log lines were dropped');
  };

  const wrap = (inner: Logger): Logger => {
    const write = (level: 'info' | 'warn' | 'error', requests: Budget) => (
      fields: LogFields,
      sentence: string,
    ) => {
      summarise();
      const budget = 'request' in fields ? requests : states;
      if (budget.take()) inner[level](fields, sentence);
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
