/**
 * Key-value stores with revisions and watches: the interfaces, the clients and wrappers, and
 * in-memory implementations with fault injection.
 */
export type { Store, StoreEntry, WatchOptions } from './store.ts';
export {
  createMemoryStore, MAX_VALUE_BYTES, type MemoryStore, type StoreCounters, type StoreFaults,
} from './memory_store.ts';
export { createHttpStore, type HttpStore, type HttpStoreOptions } from './create_http_store.ts';
export {
  callsPerSecondPerNode,
  createGuardedStore,
  type GuardedStore,
  type GuardedStoreCounters,
  type GuardedStoreOptions,
} from './create_guarded_store.ts';
export { type EntryChange, updateEntry, type UpdateEntryOptions } from './update_entry.ts';
export type {
  EntryChanges,
  EntryList,
  EntryWrite,
  ExpectedRevision,
  LeasedStore,
  RemovedEntry,
  Transaction,
  LongPollOptions,
} from './leased_store.ts';
export { type EraReportingStore, followEras, type OnEra } from './follow_eras.ts';
export { createStoreEras, eraOfRevision, type StoreEras } from './store_eras.ts';
export { abortStaleWatches, type AbortStaleWatchesOptions } from './abort_stale_watches.ts';
export {
  createMemoryLeasedStore, type LeasedStoreFaults, type MemoryLeasedStore, type StoreCopy,
} from './memory_leased_store.ts';
