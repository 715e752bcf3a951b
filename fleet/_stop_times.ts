import type { Clock } from '../clock/mod.ts';

/** Times at which the steps of a stop end, monotonic in ms. */
export interface StopTimes {
  /** Time by which requests must be answered. */
  readonly answerBy: number;
  /** Time from which the stop waits for no response; earlier the later timers are. */
  readonly endsBy: () => number;
  /** Time from which the stop waits for no step of its own. */
  readonly exitBy: () => number;
  /** Resolves at a time that may change while it waits, or once `end` is called. */
  readonly until: (dueAt: () => number) => Promise<void>;
  /** Ends all waits. */
  readonly end: () => void;
}

/** Options of {@link createStopTimes}. */
export interface StopTimesOptions {
  readonly clock: Clock;
  /** Time of the signal, monotonic in ms. */
  readonly signalledAt: number;
  readonly graceMs: number;
  /** Longest delay in ms of the event loop before the signal. */
  readonly recentDelayMs: number;
}

/** Least part of the grace time that is reserved for the end of the process. */
const MIN_RESERVE_MS = 500;
/** Time before the end in which responses that have begun are still sent. */
const FLUSH_RESERVE_MS = 300;
/** Least time in which responses that have begun are still sent when the timers are late. */
const MIN_FLUSH_MS = 100;
/** Least time that the process has to exit once it waits for nothing. */
const MIN_EXIT_MS = 200;
/** The signal, the timer that ends the wait and the exit of the process may each be late. */
const RESERVED_DELAYS = 3;
/** The timer of the last wait and the exit of the process. */
const EXIT_DELAYS = 2;
/** Requests may be broken off in the last sixth of the grace time only. */
const MAX_RESERVED_FRACTION = 1 / 6;
/** Interval at which the delay of the timers is measured. */
const TICK_MS = 20;

/**
 * Creates the times of a stop. Their distance to the end of the grace time grows with the measured
 * delay of the timers, since a process that lacks processor time is late with each step.
 *
 * @param options Clock, time of the signal, grace time and delay before the signal.
 * @returns The times, which are measured while `until` waits.
 *
 * @example
 * const times = createStopTimes({ clock, signalledAt, graceMs: 6000, recentDelayMs: 0 });
 * await times.until(times.endsBy);
 */
export const createStopTimes = ({
  clock, signalledAt, graceMs, recentDelayMs,
}: StopTimesOptions): StopTimes => {
  const killedAt = signalledAt + graceMs;
  const maxReserveMs = Math.max(
    MIN_RESERVE_MS + FLUSH_RESERVE_MS,
    graceMs * MAX_RESERVED_FRACTION,
  );
  const ended = new AbortController();
  let delayMs = recentDelayMs;

  const reserveFor = (delays: number, leastMs: number) => (
    Math.min(maxReserveMs, Math.max(leastMs, delays * delayMs))
  );
  const answerBy = killedAt - Math.min(
    maxReserveMs,
    reserveFor(RESERVED_DELAYS, MIN_RESERVE_MS) + FLUSH_RESERVE_MS,
  );
  const endsBy = () => Math.max(
    killedAt - reserveFor(RESERVED_DELAYS, MIN_RESERVE_MS),
    answerBy + MIN_FLUSH_MS,
  );

  return {
    answerBy,
    endsBy,
    exitBy: () => Math.max(killedAt - reserveFor(EXIT_DELAYS, MIN_EXIT_MS), endsBy()),
    until: async (dueAt) => {
      while (!ended.signal.aborted && clock.now() < dueAt()) {
        const wakesAt = clock.now() + Math.min(TICK_MS, dueAt() - clock.now());
        await clock.sleep(wakesAt - clock.now(), ended.signal);
        if (!ended.signal.aborted) delayMs = Math.max(delayMs, clock.now() - wakesAt);
      }
    },
    end: () => ended.abort(),
  };
};
