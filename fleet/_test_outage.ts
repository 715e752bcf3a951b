import type { EraReportingStore } from '../store/mod.ts';

/** Redirects calls to an unavailable store while the shared one is out of reach. */
export const withOutage = (
  store: EraReportingStore,
  isUnavailable: () => boolean,
  unavailableStore: EraReportingStore,
): EraReportingStore => (
  new Proxy(store, {
    get: (target, name: keyof EraReportingStore) => (
      (...args: readonly never[]) => {
        const chosen = isUnavailable() ? unavailableStore : target;
        return (chosen[name] as (...values: readonly never[]) => unknown)(...args);
      }
    ),
  })
);
