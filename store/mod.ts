/** The platform's key-value service: interface, adapters and an in-memory store with faults. */
export type { Store, StoreEntry, WatchOptions } from './store.ts';
export {
  createMemoryStore, MAX_VALUE_BYTES, type MemoryStore, type StoreCounters, type StoreFaults,
} from './memory_store.ts';
