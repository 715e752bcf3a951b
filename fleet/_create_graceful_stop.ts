import type { Clock } from '../clock/mod.ts';
import type { ShutdownTracker } from '../gateway/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import type { EndOwner, StopNode, StopRequest } from '../lifecycle/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

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
  readonly logger: Logger;
}

/** Readiness is probed once a second, and two failed probes end the flow of new callers. */
const READINESS_DRAIN_MS = 2800;
/** Part of the grace time that is reserved for the end of the process. */
const STOP_RESERVE_MS = 500;
/** Time before the end in which responses that have begun are still sent. */
const FLUSH_RESERVE_MS = 300;
/** Late requests get a refusal with Retry-After in this time instead of a refused connection. */
const LISTENER_CLOSE_DELAY_MS = 60;
/** Limits the wait for connections that have only refused or incomplete requests. */
const UNUSED_CONNECTION_LIMIT_MS = 1000;

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

  const run = async ({ sinceMs, isPlanned }: StopRequest) => {
    const signalledAt = clock.now() - sinceMs;
    const endsBy = signalledAt + options.graceMs - STOP_RESERVE_MS;
    shutdown.leave(endsBy - FLUSH_RESERVE_MS);
    options.announceStop();
    logger.info({ graceMs: options.graceMs, isPlanned }, 'stopping');
    if (isPlanned) await clock.sleep(Math.max(0, READINESS_DRAIN_MS - sinceMs), unplanned.signal);
    const closed = shutdown.close();
    logger.info({ active: shutdown.activeRequests() }, 'no longer accepting requests');
    await closed;
    await clock.sleep(LISTENER_CLOSE_DELAY_MS);
    const leftMs = endsBy - clock.now();
    const limitMs = shutdown.activeRequests() === 0
      ? Math.min(leftMs, UNUSED_CONNECTION_LIMIT_MS)
      : leftMs;
    const limitAt = clock.now() + limitMs;
    const timeout = new AbortController();
    await Promise.race([
      Promise.all(options.listeners.map((listener) => listener.stop())),
      clock.sleep(limitMs, timeout.signal),
    ]);
    timeout.abort();
    await ends.untilAnswered(limitAt);
    logger.info({
      active: shutdown.activeRequests(),
      open: ends.openRequests(),
      leftMs: Math.round(endsBy - clock.now()),
    }, 'stopped');
  };

  return (request) => {
    if (!request.isPlanned) unplanned.abort();
    stopped ??= run(request);
    return stopped;
  };
};
