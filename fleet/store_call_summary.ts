import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Sums the calls to the store for the log. */
export interface StoreCallSummary {
  /** Counts one finished call by its operation and outcome. */
  readonly record: (call: string, outcome: string) => void;
  /** Stops the log lines, after a last one. */
  readonly stop: () => void;
}

/** Interval in ms of the log lines; the platform charges for each call. */
const SUMMARY_INTERVAL_MS = 10_000;

/**
 * Creates a summary that logs the number of calls by operation and outcome, such as `watch ok`.
 *
 * @param clock Clock of the interval.
 * @param logger Logger.
 * @returns The summary.
 *
 * @example
 * const summary = createStoreCallSummary(clock, logger);
 * summary.record('watch', 'ok');
 */
export const createStoreCallSummary = (clock: Clock, logger: Logger): StoreCallSummary => {
  let counts: Record<string, number> = {};
  let since = clock.now();

  const write = () => {
    if (Object.keys(counts).length > 0) {
      logger.info({ periodMs: Math.round(clock.now() - since), counts }, 'calls to the store');
    }
    counts = {};
    since = clock.now();
  };
  let cancel = () => undefined as void;
  const writeAgain = () => {
    write();
    cancel = clock.schedule(SUMMARY_INTERVAL_MS, writeAgain);
  };
  cancel = clock.schedule(SUMMARY_INTERVAL_MS, writeAgain);

  return {
    record: (call, outcome) => {
      const name = `${call} ${outcome}`;
      counts[name] = (counts[name] ?? 0) + 1;
    },
    stop: () => {
      cancel();
      write();
    },
  };
};
