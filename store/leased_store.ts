import type { Result } from 'neverthrow';
import type { StoreError } from '../errors/mod.ts';
import type { StoreEntry } from './store.ts';

/** One write or removal of a transaction. */
export interface EntryWrite {
  readonly key: string;
  readonly value: string;
  /** Lease that removes the entry when it ends; undefined keeps the entry. */
  readonly lease?: number;
}

/** Revision that a key must have; 0 means that it must not exist. */
export interface ExpectedRevision {
  readonly key: string;
  readonly revision: number;
}

/** Writes that take effect together, or not at all when an expected revision differs. */
export interface Transaction {
  readonly expect: readonly ExpectedRevision[];
  readonly puts: readonly EntryWrite[];
  readonly removals?: readonly string[];
}

/** A removed entry, as a watch reports it. */
export interface RemovedEntry {
  readonly key: string;
  readonly revision: number;
  readonly removed: true;
}

/** Entries under a prefix and the store's revision at the end of the read. */
export interface EntryList {
  readonly entries: readonly StoreEntry[];
  readonly at: number;
}

/** Changes under a prefix, in order of revision; continue after `at`. */
export interface EntryChanges {
  readonly events: readonly (StoreEntry | RemovedEntry)[];
  readonly at: number;
}

/** Options of a watch. */
export interface WaitOptions {
  /** Longest time in ms that the store holds the call while nothing changes. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** A key-value store with leases, linearizable reads and conditional transactions. */
export interface LeasedStore {
  readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;
  readonly list: (prefix: string) => Promise<Result<EntryList, StoreError>>;
  /** Fails with `compacted` when the changes after `afterRevision` are no longer known. */
  readonly changes: (
    prefix: string,
    afterRevision: number,
    options: WaitOptions,
  ) => Promise<Result<EntryChanges, StoreError>>;
  /** Returns the new revision; fails with `conflict`, or `lease-ended` for an unknown lease. */
  readonly transact: (transaction: Transaction) => Promise<Result<number, StoreError>>;
  /** Opens a lease that ends `ttlMs` after its last renewal reached the store. */
  readonly openLease: (ttlMs: number) => Promise<Result<number, StoreError>>;
  /** Renews a lease; fails with `lease-ended` when it has ended. */
  readonly keepLease: (lease: number) => Promise<Result<void, StoreError>>;
  readonly endLease: (lease: number) => Promise<Result<void, StoreError>>;
}
