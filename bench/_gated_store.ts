import type { Store } from '../store/mod.ts';

/** A store as one process sees it: responses wait while the process is halted. */
export interface GatedStore extends Store {
  readonly halt: () => void;
  readonly resume: () => void;
}

/** Creates the gate; a killed process is halted and never resumed. */
export const createGatedStore = (store: Store): GatedStore => {
  let halted: Promise<void> | undefined;
  let open: () => void = () => undefined;
  const gate = async <T>(call: () => Promise<T>): Promise<T> => {
    await halted;
    const outcome = await call();
    await halted;
    return outcome;
  };
  return {
    get: (key) => gate(() => store.get(key)),
    list: (prefix) => gate(() => store.list(prefix)),
    compareAndSwap: (key, expectedRevision, value) => (
      gate(() => store.compareAndSwap(key, expectedRevision, value))
    ),
    watch: (prefix, afterRevision, options) => (
      gate(() => store.watch(prefix, afterRevision, options))
    ),
    halt: () => {
      halted ??= new Promise((resolve) => {
        open = resolve;
      });
    },
    resume: () => {
      halted = undefined;
      open();
    },
  };
};
