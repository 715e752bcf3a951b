import type { CancelTask, Clock } from '../clock/mod.ts';

/** One timer that is moved to the next time at which something is due. */
export interface DueTimer {
  /** Runs `task` at `dueAt` or earlier, unless armed again before; `Infinity` cancels it. */
  readonly arm: (dueAt: number, task: () => void) => void;
}

/** Creates a timer that is not armed. */
export const createDueTimer = (clock: Clock): DueTimer => {
  let cancel: CancelTask = () => undefined;
  let timerAt = Infinity;
  return {
    arm: (dueAt, task) => {
      // A task that runs too early arms the timer again, which costs less than a new timer.
      if (dueAt === timerAt || (dueAt > timerAt && dueAt !== Infinity)) return;
      cancel();
      timerAt = dueAt;
      if (dueAt === Infinity) return;
      cancel = clock.schedule(dueAt - clock.now(), () => {
        timerAt = Infinity;
        task();
      });
    },
  };
};
