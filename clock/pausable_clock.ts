import type { Clock } from './clock.ts';
import { createSleep } from './_sleep.ts';

/**
 * The clock of one simulated process that a test can pause. During a pause the time advances, but
 * tasks do not run.
 */
export interface PausableClock extends Clock {
  readonly pause: () => void;
  /** Ends the pause and runs the tasks that became due during it, in order. */
  readonly resume: () => void;
}

/**
 * Creates the clock of one simulated process from a clock that several of them share.
 *
 * @param base The shared clock, usually a fake one.
 * @returns The pausable clock.
 *
 * @example
 * const clock = createPausableClock(createFakeClock());
 * clock.pause();
 */
export const createPausableClock = (base: Clock): PausableClock => {
  const deferredTasks: (() => void)[] = [];
  let paused = false;

  const schedule: Clock['schedule'] = (delayMs, task) => {
    let cancelled = false;
    const run = () => {
      if (!cancelled) task();
    };
    const cancelBase = base.schedule(delayMs, () => {
      if (paused) deferredTasks.push(run);
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
      for (const run of deferredTasks.splice(0)) run();
    },
  };
};
