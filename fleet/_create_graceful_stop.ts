import type { Clock } from '../clock/mod.ts';
import type { ShutdownTracker } from '../gateway/mod.ts';
import { type HttpListener, refuseArrived } from '../http/mod.ts';
import {
  createFailedStepReport, type EndOwner, type StopNode, type StopRequest,
} from '../lifecycle/mod.ts';
import type { LogFields, Logger } from '../telemetry/mod.ts';
import { createStopTimes, type StopTimes } from './_stop_times.ts';

/** Options of {@link createGracefulStop}. */
export interface GracefulStopOptions {
  readonly clock: Clock;
  readonly graceMs: number;
  readonly shutdown: ShutdownTracker;
  /** Tells which requests are open, accepted or not. */
  readonly ends: Pick<EndOwner, 'openRequests' | 'untilAnswered'>;
  /** Listeners whose requests must be answered before the node ends. */
  readonly listeners: readonly HttpListener[];
  /** Whether callers may know of the node; by default, they may. */
  readonly mayHaveCallers?: () => boolean;
  /** Announces that the node is stopping. */
  readonly announceStop: () => void;
  /** Called with the time in ms since the signal when the stop is or becomes a planned one. */
  readonly onSignal?: (sinceMs: number) => void;
  /** Longest delay in ms of the event loop before the stop; 0 by default. */
  readonly recentDelayMs?: () => number;
  readonly logger: Logger;
}

/** Readiness is probed once a second, and two failed probes end the flow of new callers. */
const READINESS_DRAIN_MS = 2800;
/** Late requests get a refusal with Retry-After in this time instead of a refused connection. */
const LISTENER_CLOSE_DELAY_MS = 60;
/** Limits the wait for connections that have only refused or incomplete requests. */
const UNUSED_CONNECTION_LIMIT_MS = 1000;

/**
 * Creates the graceful stop of a node. It accepts all requests until callers have learned that the
 * node is not ready, then only proven nested calls of the running ones, and none once no request is
 * in flight. It ends when every response has been handed to the operating system, at the latest
 * shortly before the end of the grace time. A stop that is not planned, as after an exception,
 * does not wait until callers have learned of it, and ends that wait of an earlier stop. Nor does
 * the stop of a node whose listener for callers is not bound.
 *
 * @param options Clock, grace time, shutdown tracker, owner of the ends, listeners and logger.
 * @returns A function that stops the node; further calls return the promise of the first one.
 *
 * @example
 * const stop = createGracefulStop(options);
 * await stop({ sinceMs: 0, isPlanned: true });
 */
export const createGracefulStop = (options: GracefulStopOptions): StopNode => {
  const {
    clock, shutdown, ends, logger,
  } = options;
  let stopped: Promise<void> | undefined;
  const unplanned = new AbortController();

  const reportFailure = createFailedStepReport(logger);
  /** Runs a step whose failure must not keep the stop from waiting for the open requests. */
  const runStep = (step: string, runOnce: () => void) => {
    try {
      runOnce();
    } catch (error) {
      reportFailure(step, error);
    }
  };
  const logInfo = (fields: LogFields, message: string) => (
    runStep('log', () => logger.info(fields, message))
  );
  const stopListener = async (listener: HttpListener) => {
    try {
      await listener.stop();
    } catch (error) {
      reportFailure('listener', error);
    }
  };

  const run = async ({ sinceMs, isPlanned }: StopRequest, times: StopTimes) => {
    shutdown.leave(times.answerBy);
    runStep('announce', options.announceStop);
    const mayHaveCallers = options.mayHaveCallers?.() ?? true;
    logInfo({ graceMs: options.graceMs, isPlanned, mayHaveCallers }, 'stopping');
    if (isPlanned && mayHaveCallers) {
      await clock.sleep(Math.max(0, READINESS_DRAIN_MS - sinceMs), unplanned.signal);
    }
    const closed = shutdown.close();
    logInfo({ active: shutdown.activeRequests() }, 'no longer accepting requests');
    await closed;
    await clock.sleep(Math.min(LISTENER_CLOSE_DELAY_MS, Math.max(0, times.endsBy() - clock.now())));
    const unusedUntil = shutdown.activeRequests() === 0
      ? clock.now() + UNUSED_CONNECTION_LIMIT_MS
      : Infinity;
    const limitAt = () => Math.min(times.endsBy(), unusedUntil);
    await Promise.race([
      Promise.all(options.listeners.map(stopListener)),
      times.until(limitAt),
    ]);
    await ends.untilAnswered(limitAt());
  };

  const runInTime = async (request: StopRequest) => {
    const signalledAt = clock.now() - request.sinceMs;
    const times = createStopTimes({
      clock,
      signalledAt,
      graceMs: options.graceMs,
      recentDelayMs: options.recentDelayMs?.() ?? 0,
    });
    try {
      await Promise.race([run(request, times), times.until(times.exitBy)]);
      const onFailure = (error: unknown) => reportFailure('listener', error);
      const { listeners } = options;
      await refuseArrived({
        clock, listeners, ends, onFailure,
      }, times.exitBy());
    } finally {
      times.end();
    }
    logInfo({
      active: shutdown.activeRequests(),
      open: ends.openRequests(),
      leftMs: Math.round(signalledAt + options.graceMs - clock.now()),
    }, 'stopped');
  };

  return (request) => {
    if (request.isPlanned) {
      shutdown.markPlanned();
      runStep('signal', () => options.onSignal?.(request.sinceMs));
    } else unplanned.abort();
    stopped ??= runInTime(request);
    return stopped;
  };
};
