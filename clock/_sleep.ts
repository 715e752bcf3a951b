import type { CancelTask } from './clock.ts';

type Schedule = (delayMs: number, task: () => void) => CancelTask;

/** Creates the `sleep` of a clock from its `schedule`. */
export const createSleep = (schedule: Schedule) => (
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> => new Promise((resolve) => {
  if (signal?.aborted) {
    resolve();
    return;
  }
  let cancel: CancelTask = () => undefined;
  const onAbort = () => {
    cancel();
    resolve();
  };
  cancel = schedule(delayMs, () => {
    signal?.removeEventListener('abort', onAbort);
    resolve();
  });
  signal?.addEventListener('abort', onAbort, { once: true });
});
