import type { Clock } from '../clock/mod.ts';
import type { ShutdownTracker } from '../gateway/mod.ts';
import { type HttpListener, refuseArrived } from '../http/mod.ts';
import {
  createFailedStepReport, type EndOwner, type StopFallback,
} from '../lifecycle/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Options of {@link createStopFallback}. */
export interface StopFallbackOptions {
  readonly clock: Clock;
  readonly graceMs: number;
  readonly shutdown: ShutdownTracker;
  /** Tells which requests are open. */
  readonly ends: Pick<EndOwner, 'untilAnswered'>;
  /** Listeners whose requests must be answered before the node ends. */
  readonly listeners: readonly HttpListener[];
  readonly logger: Logger;
}

/**
 * Creates what is left to the owner of the ends when the graceful stop of a node fails as a whole.
 *
 * @param options Clock, grace time, shutdown tracker, owner of the ends, listeners and logger.
 * @returns The fallback.
 *
 * @example
 * ends.setStop(stop, createStopFallback(options));
 */
export const createStopFallback = ({
  clock, graceMs, shutdown, ends, listeners, logger,
}: StopFallbackOptions): StopFallback => {
  const reportFailure = createFailedStepReport(logger);
  const onFailure = (error: unknown) => reportFailure('listener', error);
  return {
    graceMs,
    refuseRequests: (endsBy) => {
      shutdown.leave(endsBy);
      shutdown.close();
    },
    refuseArrived: (exitBy) => refuseArrived({
      clock, listeners, ends, onFailure,
    }, exitBy),
  };
};
