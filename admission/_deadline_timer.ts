import type { CancelTask, Clock } from '../clock/mod.ts';

/** A single timer for the earliest of several deadlines. */
export interface DeadlineTimer {
  /**
   * Runs `task` at the monotonic time `dueAt` in ms or earlier; `Infinity` cancels the timer.
   * Arming again replaces the task only when `dueAt` is earlier than before.
   */
  readonly arm: (dueAt: number, task: () => void) => void;
}

/** Creates a timer that is not armed. */
export const createDeadlineTimer = (clock: Clock): DeadlineTimer => {
  let cancel: CancelTask = () => undefined;
  let scheduledAt = Infinity;
  return {
    arm: (dueAt, task) => {
      // The timer is left at the earlier time: the task then arms it again, which costs less than
      // cancelling and creating a timer here.
      if (dueAt === scheduledAt || (dueAt > scheduledAt && dueAt !== Infinity)) return;
      cancel();
      scheduledAt = dueAt;
      if (dueAt === Infinity) return;
      cancel = clock.schedule(dueAt - clock.now(), () => {
        scheduledAt = Infinity;
        task();
      });
    },
  };
};
