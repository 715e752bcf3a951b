import type { Clock } from '../clock/mod.ts';
import type { Logger } from './logger.ts';

/** Time that the event loop and the process have used since their start. */
export interface ProcessUsage {
  /** Time in ms that the event loop waited for events. */
  readonly idleMs: number;
  /** Time in ms that the event loop processed events, waits for the processor included. */
  readonly activeMs: number;
  /** Processor time in ms. */
  readonly processorMs: number;
}

/** Watches how long requests wait for the event loop of this process. */
export interface EventLoopMonitor {
  /**
   * Records one request.
   *
   * @param delayMs Time in ms that the event loop took to process the pending events.
   * @param isGone The caller disconnected meanwhile.
   * @param isOnNewConnection The request is the first one on its connection, which may have waited
   *   to be accepted.
   */
  readonly record: (delayMs: number, isGone: boolean, isOnNewConnection?: boolean) => void;
  /** Returns the fraction of the last interval in which the event loop was not idle. */
  readonly utilization: () => number;
  /** Returns the longest delay in ms of the last interval. */
  readonly maxDelayMs: () => number;
}

/** Options of an event loop monitor. */
export interface EventLoopMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly usage: () => ProcessUsage;
}

/** Bounds the log lines to one in this time. */
const INTERVAL_MS = 1000;
/** The event loop counts as busy from this utilization or delay on, and a line is logged. */
const BUSY_UTILIZATION = 0.8;
const BUSY_DELAY_MS = 50;
const PERCENT = 100;

interface Interval {
  readonly startedAt: number;
  readonly usage: ProcessUsage;
  requests: number;
  gone: number;
  newConnections: number;
  totalDelayMs: number;
  maxDelayMs: number;
}

const roundToHundredths = (value: number) => Math.round(value * PERCENT) / PERCENT;

/** Reads the time that this process and its event loop have used. */
export const readProcessUsage = (): ProcessUsage => {
  const { idle, active } = performance.eventLoopUtilization();
  const { user, system } = process.cpuUsage();
  return { idleMs: idle, activeMs: active, processorMs: (user + system) / 1000 };
};

/**
 * Creates a monitor. It has no timer: an interval ends with the first request after its time.
 *
 * @param options Clock, logger and reader of the used time.
 * @returns The monitor.
 *
 * @example
 * const startedAt = clock.now();
 * await dispatch.wait(request);
 * monitor.record(clock.now() - startedAt, signal.aborted);
 */
export const createEventLoopMonitor = (options: EventLoopMonitorOptions): EventLoopMonitor => {
  const { clock } = options;
  const logger = options.logger.forComponent('event loop');
  let lastUtilization = 0;
  let lastMaxDelayMs = 0;

  const startInterval = (): Interval => ({
    startedAt: clock.now(),
    usage: options.usage(),
    requests: 0,
    gone: 0,
    newConnections: 0,
    totalDelayMs: 0,
    maxDelayMs: 0,
  });
  let interval = startInterval();

  const endInterval = () => {
    const {
      startedAt, usage, requests, gone, newConnections, totalDelayMs, maxDelayMs,
    } = interval;
    interval = startInterval();
    const activeMs = interval.usage.activeMs - usage.activeMs;
    const idleMs = interval.usage.idleMs - usage.idleMs;
    lastUtilization = activeMs / Math.max(1, activeMs + idleMs);
    lastMaxDelayMs = maxDelayMs;
    if (lastUtilization < BUSY_UTILIZATION && maxDelayMs < BUSY_DELAY_MS) return;
    logger.warn({
      intervalMs: Math.round(interval.startedAt - startedAt),
      utilization: roundToHundredths(lastUtilization),
      processorMs: Math.round(interval.usage.processorMs - usage.processorMs),
      requests,
      gone,
      newConnections,
      delayMs: Math.round(totalDelayMs / Math.max(1, requests)),
      maxDelayMs: Math.round(maxDelayMs),
    }, 'requests wait for the event loop');
  };

  return {
    record: (delayMs, isGone, isOnNewConnection = false) => {
      interval.requests += 1;
      if (isGone) interval.gone += 1;
      if (isOnNewConnection) interval.newConnections += 1;
      interval.totalDelayMs += delayMs;
      interval.maxDelayMs = Math.max(interval.maxDelayMs, delayMs);
      if (clock.now() - interval.startedAt >= INTERVAL_MS) endInterval();
    },
    utilization: () => lastUtilization,
    maxDelayMs: () => lastMaxDelayMs,
  };
};
