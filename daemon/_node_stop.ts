import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import { createFailedStepReport, type EndOwner, type StopNode } from '../lifecycle/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Options of {@link createNodeStop}. */
export interface NodeStopOptions {
  readonly clock: Clock;
  /** Tells which requests are open. */
  readonly ends: Pick<EndOwner, 'untilAnswered'>;
  readonly drain: () => Promise<void>;
  /** Listeners whose requests must be answered before the node ends, in the order of their stop. */
  readonly listeners: readonly Pick<HttpListener, 'stop'>[];
  /** Tells the other nodes that this one has left. */
  readonly leave: () => Promise<void>;
  readonly stopServices: () => Promise<void>;
  readonly logger: Logger;
}

/** The stop of a node. */
export interface NodeStop {
  /**
   * Stops the node; further calls join the first one.
   *
   * @throws {StepError} when a step failed, once the other ones have been run.
   */
  readonly stop: StopNode;
  /** Returns whether a planned stop has begun. */
  readonly isPlanned: () => boolean;
}

/** Time within which all peers learn that the instances of a node are draining. */
const DRAIN_PROPAGATION_MS = 2000;
/** Limits the wait for open requests after a failed step, which a route may allow an hour. */
const FAILED_STOP_LIMIT_MS = 30_000;

/**
 * Creates the graceful stop of a node. A step that fails is logged, and the stop goes on, so that
 * the open requests are answered.
 *
 * @param options Clock, owner of the ends, steps and logger.
 * @returns The stop, which has not begun.
 *
 * @example
 * const { stop } = createNodeStop(options);
 * await stop({ sinceMs: 0, isPlanned: true });
 */
export const createNodeStop = (options: NodeStopOptions): NodeStop => {
  const { clock, ends, logger } = options;
  const reportFailure = createFailedStepReport(logger);
  let stopped: Promise<void> | undefined;
  let isPlanned = false;
  const failures: unknown[] = [];
  let setFailed = () => undefined as void;
  const failed = new Promise<void>((resolve) => {
    setFailed = resolve;
  });

  const runStep = async (step: string, runOnce: () => Promise<void> | void) => {
    try {
      await runOnce();
    } catch (error) {
      failures.push(error);
      setFailed();
      reportFailure(step, error);
    }
  };
  const stopListener = ({ stop }: Pick<HttpListener, 'stop'>) => runStep('listener', stop);

  const stopListeners = async () => {
    // A limit that runs already leaves no time to stop one after the other.
    if (failures.length > 0) await Promise.all(options.listeners.map(stopListener));
    else {
      for (const listener of options.listeners) await stopListener(listener);
    }
    // A listener that failed to stop has not waited for its requests.
    if (failures.length > 0) await ends.untilAnswered(clock.now() + FAILED_STOP_LIMIT_MS);
  };

  const run = async () => {
    await runStep('drain', options.drain);
    await clock.sleep(DRAIN_PROPAGATION_MS);
    const timeout = new AbortController();
    const limit = failed.then(() => clock.sleep(FAILED_STOP_LIMIT_MS, timeout.signal));
    await Promise.race([stopListeners(), limit]);
    timeout.abort();
    await runStep('leave', options.leave);
    await runStep('services', options.stopServices);
    await runStep('log', () => logger.info({ failures: failures.length }, 'stopped'));
    if (failures.length === 0) return;
    throw new StepError(`${failures.length} steps of the stop failed`, {
      step: 'node.stop', cause: failures[0],
    });
  };

  return {
    stop: (request) => {
      isPlanned ||= request.isPlanned;
      stopped ??= run();
      return stopped;
    },
    isPlanned: () => isPlanned,
  };
};
