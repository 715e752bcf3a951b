/** Cancels a scheduled task. Cancelling twice, or after the task ran, has no effect. */
export type CancelTask = () => void;

/**
 * Source of time in milliseconds. All code takes its time from here, so that tests can control it.
 */
export interface Clock {
  /** Monotonic time in ms since an arbitrary origin. */
  readonly now: () => number;
  /** Wall-clock time in ms since the Unix epoch. Use it for display and identifiers only. */
  readonly wallTime: () => number;
  /** Runs `task` once after `delayMs`. */
  readonly schedule: (delayMs: number, task: () => void) => CancelTask;
  /** Resolves after `delayMs`, or as soon as `signal` aborts. It never rejects. */
  readonly sleep: (delayMs: number, signal?: AbortSignal) => Promise<void>;
}
