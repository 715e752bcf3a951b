import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Options for {@link runUntilStop}. */
export interface RunUntilStopOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of the task in the logs. */
  readonly part: string;
}

/** Delay in ms before a failed task is run again; one that fails at once is no busy loop. */
const RESTART_DELAY_MS = 500;

/**
 * Runs a background task until it is stopped. A task that fails is logged and run again, because
 * the node would otherwise go on with a view that nothing updates.
 *
 * @param run The task; it ends when its signal aborts.
 * @param options Clock, logger and name of the task.
 * @returns A function that stops the task and resolves once it has ended.
 *
 * @example
 * const stop = runUntilStop(view.follow, { clock, logger, part: 'view' });
 */
export const runUntilStop = (
  run: (signal: AbortSignal) => Promise<void>,
  { clock, logger, part }: RunUntilStopOptions,
): (() => Promise<void>) => {
  const stopping = new AbortController();
  const { signal } = stopping;
  const keepRunning = async () => {
    while (!signal.aborted) {
      try {
        await run(signal);
        return;
      } catch (error) {
        logger.error({ part, reason: String(error) }, 'a background task failed');
      }
      await clock.sleep(RESTART_DELAY_MS, signal);
    }
  };
  const done = keepRunning();
  return () => {
    stopping.abort();
    return done;
  };
};
