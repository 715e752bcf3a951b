import type { Clock } from './clock.ts';
import { createSleep } from './_sleep.ts';

/** A clock for tests whose time changes only by `advance` and `jump`. */
export interface FakeClock extends Clock {
  /**
   * Moves the time forward by `durationMs` and runs the due tasks, ordered by time and then by
   * creation. Pending promise callbacks run between the tasks.
   */
  readonly advance: (durationMs: number) => Promise<void>;
  /**
   * Moves the time forward without running due tasks, as a pause of the process does. They run at
   * the next `advance`.
   */
  readonly jump: (durationMs: number) => void;
  /** Returns the number of scheduled tasks. */
  readonly pending: () => number;
}

interface ScheduledTask {
  readonly dueMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

const FAKE_EPOCH_MS = 1_700_000_000_000;

/** Waits until pending promise callbacks have run. */
const flushPromises = (): Promise<void> => new Promise((resolve) => {
  setImmediate(resolve);
});

const isBefore = (left: ScheduledTask, right: ScheduledTask) => (
  left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence)
);

/**
 * Creates a clock for tests. Its time starts at 0 and changes only by `advance` and `jump`.
 *
 * @returns The fake clock.
 *
 * @example
 * const clock = createFakeClock();
 * clock.schedule(5, () => console.log('due'));
 * await clock.advance(5);
 */
export const createFakeClock = (): FakeClock => {
  let currentMs = 0;
  let nextSequence = 0;
  const tasks = new Set<ScheduledTask>();

  const schedule: Clock['schedule'] = (delayMs, run) => {
    const task = { dueMs: currentMs + Math.max(0, delayMs), sequence: nextSequence, run };
    nextSequence += 1;
    tasks.add(task);
    return () => {
      tasks.delete(task);
    };
  };

  /** Removes and returns the first task that is due at `untilMs`. */
  const takeDue = (untilMs: number): ScheduledTask | undefined => {
    let first: ScheduledTask | undefined;
    for (const task of tasks) {
      if (task.dueMs <= untilMs && (first === undefined || isBefore(task, first))) first = task;
    }
    if (first !== undefined) tasks.delete(first);
    return first;
  };

  const advance = async (durationMs: number) => {
    const untilMs = currentMs + durationMs;
    await flushPromises();
    for (let task = takeDue(untilMs); task !== undefined; task = takeDue(untilMs)) {
      currentMs = Math.max(currentMs, task.dueMs);
      task.run();
      await flushPromises();
    }
    currentMs = untilMs;
  };

  return {
    now: () => currentMs,
    wallTime: () => FAKE_EPOCH_MS + currentMs,
    schedule,
    sleep: createSleep(schedule),
    advance,
    jump: (durationMs) => {
      currentMs += durationMs;
    },
    pending: () => tasks.size,
  };
};
