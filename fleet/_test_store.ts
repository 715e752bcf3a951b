import type { Clock } from '../clock/mod.ts';
import type { EraReportingStore, MemoryLeasedStore } from '../store/mod.ts';

/** Numbers of transactions that took effect and that met a conflict. */
export interface WriteCounts {
  readonly done: number;
  readonly conflicts: number;
}

/** Options of a simulated host's way to the shared store. */
export interface TestHostStoreOptions {
  readonly clock: Clock;
  readonly shared: EraReportingStore;
  readonly unavailableStore: EraReportingStore;
  readonly isUnavailable: () => boolean;
  /** Time in ms that a call takes each way. */
  readonly delayMs: number;
}

/** Redirects calls to an unavailable store while the shared one is out of reach. */
export const createTestHostStore = (options: TestHostStoreOptions): EraReportingStore => {
  const { clock, delayMs } = options;
  const travel = async () => {
    if (delayMs > 0) await clock.sleep(delayMs);
  };
  return new Proxy(options.shared, {
    get: (target, name: keyof EraReportingStore) => (
      async (...args: readonly never[]) => {
        await travel();
        const chosen = options.isUnavailable() ? options.unavailableStore : target;
        const call = chosen[name] as (...values: readonly never[]) => Promise<unknown>;
        const result = await call(...args);
        await travel();
        return result;
      }
    ),
  });
};

/** Counts the transactions of a store. */
export const countWrites = (store: MemoryLeasedStore) => {
  let done = 0;
  let conflicts = 0;
  const counted: EraReportingStore = {
    ...store,
    transact: async (transaction) => {
      const result = await store.transact(transaction);
      if (result.isOk()) done += 1;
      else if (result.error.kind === 'conflict') conflicts += 1;
      return result;
    },
  };
  return { counted, writes: (): WriteCounts => ({ done, conflicts }) };
};
