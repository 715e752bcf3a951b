import type { Clock } from '../clock/mod.ts';
import type { ShutdownTracker } from '../gateway/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import type { EndOwner, StopNode, StopRequest } from '../lifecycle/mod.ts';
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
  /** Announces that the node is stopping. */
  readonly announceStop: () => void;
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
/** Limits the time in which requests that have arrived before the exit are refused. */
const REFUSAL_LIMIT_MS = 250;
/** Time for these refusals when the exit is late; an event loop that is free needs less. */
const LATE_REFUSAL_LIMIT_MS = 100;
/** Listeners end the first pass in different turns of the event loop, as some still accept. */
const QUIET_PASSES = 2;

/**
 * Creates the graceful stop of a node. It accepts all requests until callers have learned that the
 * node is not ready, then only proven nested calls of the running ones, and none once no request is
 * in flight. It ends when every response has been handed to the operating system, at the latest
 * shortly before the end of the grace time. A stop that is not planned, as after an exception,
 * does not wait until callers have learned of it, and ends that wait of an earlier stop.
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

  const reportFailure = (step: string, error: unknown) => {
    try {
      logger.error({ step, reason: String(error) }, 'a step of the stop failed');
    } catch {
      // Nothing is left to report a damaged logger to.
    }
  };
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
  const readArrived = async (listener: HttpListener, endsBy: number) => {
    try {
      return await listener.readArrived(endsBy);
    } catch (error) {
      reportFailure('listener', error);
      return 0;
    }
  };

  const run = async ({ sinceMs, isPlanned }: StopRequest, times: StopTimes) => {
    shutdown.leave(times.answerBy);
    runStep('announce', options.announceStop);
    logInfo({ graceMs: options.graceMs, isPlanned }, 'stopping');
    if (isPlanned) await clock.sleep(Math.max(0, READINESS_DRAIN_MS - sinceMs), unplanned.signal);
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

  /** Requests that arrive behind the last ones are read and refused rather than reset. */
  const refuseArrived = async (refusedBy: number) => {
    let quietPasses = 0;
    do {
      const counts = await Promise.all(
        options.listeners.map((listener) => readArrived(listener, refusedBy)),
      );
      const readCount = counts.reduce((sum, count) => sum + count, 0);
      quietPasses = readCount > 0 ? 0 : quietPasses + 1;
      if (readCount > 0) await ends.untilAnswered(refusedBy);
    } while (quietPasses < QUIET_PASSES && clock.now() < refusedBy);
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
      const refusedBy = Math.max(
        clock.now() + LATE_REFUSAL_LIMIT_MS,
        Math.min(clock.now() + REFUSAL_LIMIT_MS, times.exitBy()),
      );
      await Promise.race([refuseArrived(refusedBy), times.until(() => refusedBy)]);
      // The exit takes long enough for clients to send further requests on open connections.
      for (const { closeIdle } of options.listeners) runStep('close', closeIdle);
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
    if (!request.isPlanned) unplanned.abort();
    stopped ??= runInTime(request);
    return stopped;
  };
};
