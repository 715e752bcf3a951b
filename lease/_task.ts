import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Clock } from '../clock/mod.ts';

/** Background loop that runs a step, sleeps, and runs the step again. */
export interface Task {
  /** Skips the sleep: runs the step again now, or directly after the current run. */
  readonly wake: () => void;
  /** Ends the loop after the current run. */
  readonly stop: () => void;
  readonly stopped: () => boolean;
}

/** Sleep of a task that has nothing to do, as timers accept no infinite delay. */
export const IDLE_DELAY_MS = 60_000;

/** Starts a task. `step` returns the delay in ms until its next run. */
export const startTask = (clock: Clock, step: () => Promise<number>): Task => {
  const stopController = new AbortController();
  let sleepAbort = new AbortController();

  const run = async () => {
    while (!stopController.signal.aborted) {
      sleepAbort = new AbortController();
      const delayMs = await step();
      if (!stopController.signal.aborted) await clock.sleep(delayMs, sleepAbort.signal);
    }
  };
  run();

  return {
    wake: () => sleepAbort.abort(),
    stop: () => {
      stopController.abort();
      sleepAbort.abort();
    },
    stopped: () => stopController.signal.aborted,
  };
};

/** Base and maximum delay of an exponential backoff. */
export interface BackoffOptions {
  readonly initialMs: number;
  readonly maxMs: number;
}

/**
 * Returns the delay in ms before the next attempt. The delay doubles with each attempt up to
 * `maxMs`, and jitter picks a value between half of it and all of it.
 */
export const backoffMs = (
  attempt: number,
  random: RandomGenerator,
  { initialMs, maxMs }: BackoffOptions,
): number => {
  const maxDelayMs = Math.min(maxMs, initialMs * 2 ** Math.min(attempt, 20));
  return uniformInt(random, Math.ceil(maxDelayMs / 2), Math.ceil(maxDelayMs));
};
