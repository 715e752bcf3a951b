/** Cancels a scheduled task. It has no effect when the task has run or is already cancelled. */
export type CancelTask = () => void;

/**
 * Source of time in milliseconds. All code reads and waits for time through it, so that tests can
 * control the time.
 */
export interface Clock {
  /** Returns the monotonic time in ms since an arbitrary origin. */
  readonly now: () => number;
  /** Returns the time in ms since the Unix epoch. Use it only for display and identifiers. */
  readonly wallTime: () => number;
  /** Runs `task` once after `delayMs`. */
  readonly schedule: (delayMs: number, task: () => void) => CancelTask;
  /** Resolves after `delayMs`, or as soon as `signal` aborts. It never rejects. */
  readonly sleep: (delayMs: number, signal?: AbortSignal) => Promise<void>;
}
