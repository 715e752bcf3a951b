import type { Store } from '../store/mod.ts';

/** Store client of one process whose calls and responses wait while the process is paused. */
export interface PausableStore extends Store {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Wraps a store for one process. A killed process is paused and never resumed. */
export const createPausableStore = (store: Store): PausableStore => {
  let resumption: Promise<void> | undefined;
  let endPause: () => void = () => undefined;
  const callWhenResumed = async <T>(call: () => Promise<T>): Promise<T> => {
    await resumption;
    const outcome = await call();
    await resumption;
    return outcome;
  };
  return {
    get: (key) => callWhenResumed(() => store.get(key)),
    list: (prefix) => callWhenResumed(() => store.list(prefix)),
    compareAndSwap: (key, expectedRevision, value) => (
      callWhenResumed(() => store.compareAndSwap(key, expectedRevision, value))
    ),
    watch: (prefix, afterRevision, options) => (
      callWhenResumed(() => store.watch(prefix, afterRevision, options))
    ),
    pause: () => {
      resumption ??= new Promise((resolve) => {
        endPause = resolve;
      });
    },
    resume: () => {
      resumption = undefined;
      endPause();
    },
  };
};
