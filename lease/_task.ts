import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Clock } from '../clock/mod.ts';

/** A loop that runs a step, waits, and runs it again. */
export interface Task {
  /** Runs the step again now, or right after the present run. */
  readonly wake: () => void;
  readonly stop: () => void;
  readonly stopped: () => boolean;
}

/** Longest wait of a task that has nothing to do; timers take no infinite delay. */
export const IDLE_MS = 60_000;

/** Starts a task; `step` returns the wait until its next run in ms. */
export const startTask = (clock: Clock, step: () => Promise<number>): Task => {
  const stop = new AbortController();
  let wakeUp = new AbortController();

  const run = async () => {
    while (!stop.signal.aborted) {
      wakeUp = new AbortController();
      const delayMs = await step();
      if (!stop.signal.aborted) await clock.sleep(delayMs, wakeUp.signal);
    }
  };
  run();

  return {
    wake: () => wakeUp.abort(),
    stop: () => {
      stop.abort();
      wakeUp.abort();
    },
    stopped: () => stop.signal.aborted,
  };
};

/** Options of a backoff. */
export interface BackoffOptions {
  readonly firstMs: number;
  readonly limitMs: number;
}

/** Delay before the next attempt: doubles with each attempt, with jitter of one half. */
export const backoffMs = (
  attempt: number,
  random: RandomGenerator,
  { firstMs, limitMs }: BackoffOptions,
): number => {
  const fullMs = Math.min(limitMs, firstMs * 2 ** Math.min(attempt, 20));
  return uniformInt(random, Math.ceil(fullMs / 2), Math.ceil(fullMs));
};
