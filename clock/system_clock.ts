import type { Clock } from './clock.ts';
import { createSleep } from './_sleep.ts';

/**
 * Creates the clock of the running system.
 *
 * @returns A clock that uses `performance.now()`, `Date.now()` and the Node.js timers.
 *
 * @example
 * const clock = createSystemClock();
 * await clock.sleep(10);
 */
export const createSystemClock = (): Clock => {
  const schedule: Clock['schedule'] = (delayMs, task) => {
    const timer = setTimeout(task, delayMs);
    return () => clearTimeout(timer);
  };
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    schedule,
    sleep: createSleep(schedule),
  };
};
