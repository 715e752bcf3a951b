import type { Clock } from './clock.ts';
import { createSleep } from './_sleep.ts';

/** A clock that moves only when a test advances it. */
export interface FakeClock extends Clock {
  /**
   * Moves time forward by `durationMs`, running due tasks in order of time and, at the same time,
   * of creation.
   * Pending promise callbacks run between tasks.
   */
  readonly advance: (durationMs: number) => Promise<void>;
  /**
   * Moves time forward without running due tasks, as a paused process sees it. They run at the next
   * `advance`.
   */
  readonly jump: (durationMs: number) => void;
  /** Number of scheduled tasks. */
  readonly pending: () => number;
}

interface ScheduledTask {
  readonly dueMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

const FAKE_EPOCH_MS = 1_700_000_000_000;

const settle = (): Promise<void> => new Promise((resolve) => {
  setImmediate(resolve);
});

const isBefore = (left: ScheduledTask, right: ScheduledTask) => (
  left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence)
);

/**
 * Creates a clock for tests. Its time starts at 0 and moves only by `advance` and `jump`.
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
    await settle();
    for (let task = takeDue(untilMs); task !== undefined; task = takeDue(untilMs)) {
      currentMs = Math.max(currentMs, task.dueMs);
      task.run();
      await settle();
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
