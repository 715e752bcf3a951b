import type { Clock } from './clock.ts';
import { createSleep } from './_sleep.ts';

/** The clock of one process that a test can freeze: time goes on, but its tasks wait. */
export interface PausableClock extends Clock {
  readonly pause: () => void;
  /** Runs the tasks that became due during the pause, in order, then goes on as usual. */
  readonly resume: () => void;
}

/**
 * Creates the clock of one process over a clock that several processes share.
 *
 * @param base The shared clock, usually a fake one.
 * @returns The clock of the process.
 *
 * @example
 * const clock = createPausableClock(createFakeClock());
 * clock.pause();
 */
export const createPausableClock = (base: Clock): PausableClock => {
  const held: (() => void)[] = [];
  let paused = false;

  const schedule: Clock['schedule'] = (delayMs, task) => {
    let cancelled = false;
    const run = () => {
      if (!cancelled) task();
    };
    const cancelBase = base.schedule(delayMs, () => {
      if (paused) held.push(run);
      else run();
    });
    return () => {
      cancelled = true;
      cancelBase();
    };
  };

  return {
    now: base.now,
    wallTime: base.wallTime,
    schedule,
    sleep: createSleep(schedule),
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
      for (const run of held.splice(0)) run();
    },
  };
};
