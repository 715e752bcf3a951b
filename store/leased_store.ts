import type { Result } from 'neverthrow';
import type { StoreError } from '../errors/mod.ts';
import type { StoreEntry } from './store.ts';

/** One write of a transaction. */
export interface EntryWrite {
  readonly key: string;
  readonly value: string;
  /** Lease to which the entry is attached; without one, the entry has no expiry. */
  readonly lease?: number;
}

/** A precondition: the revision that a key must have, or 0 if the key must not exist. */
export interface ExpectedRevision {
  readonly key: string;
  readonly revision: number;
}

/** Writes and removals that are applied atomically, if all expected revisions match. */
export interface Transaction {
  readonly expect: readonly ExpectedRevision[];
  readonly puts: readonly EntryWrite[];
  readonly removals?: readonly string[];
}

/** The removal of an entry, as reported by a watch. */
export interface RemovedEntry {
  readonly key: string;
  readonly revision: number;
  readonly removed: true;
}

/** The entries under a prefix. */
export interface EntryList {
  readonly entries: readonly StoreEntry[];
  /** Store revision at which the entries were read. */
  readonly at: number;
}

/** Changes under a prefix, in order of revision. */
export interface EntryChanges {
  readonly events: readonly (StoreEntry | RemovedEntry)[];
  /** Store revision up to which the changes are complete; the next watch continues after it. */
  readonly at: number;
  /** True if the changes are complete up to a moment after the call was sent. */
  readonly isCurrent?: boolean;
}

/** Options of a watch that is a long poll. */
export interface LongPollOptions {
  /** Maximum time in ms that the store holds the call while nothing changes. */
  readonly waitMs: number;
  /** Time in ms past the wait after which the call fails; by default, that of the client. */
  readonly marginMs?: number;
  readonly signal?: AbortSignal;
}

/** A key-value store with leases, linearizable reads and conditional transactions. */
export interface LeasedStore {
  /** Reads one key; `undefined` if it has no value. */
  readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;
  /** Reads all entries whose key starts with `prefix`. */
  readonly list: (prefix: string) => Promise<Result<EntryList, StoreError>>;
  /**
   * Waits for changes under `prefix` after `afterRevision`. Fails with `compacted` if the store has
   * discarded part of that history.
   */
  readonly watch: (
    prefix: string,
    afterRevision: number,
    options: LongPollOptions,
  ) => Promise<Result<EntryChanges, StoreError>>;
  /**
   * Applies a transaction and returns the new revision. Fails with `conflict` if a revision differs
   * and with `lease-ended` if a lease doesn't exist.
   */
  readonly transact: (transaction: Transaction) => Promise<Result<number, StoreError>>;
  /** Grants a lease that expires `ttlMs` after its last renewal reached the store. */
  readonly grantLease: (ttlMs: number) => Promise<Result<number, StoreError>>;
  /** Renews a lease; fails with `lease-ended` if it has expired or was revoked. */
  readonly renewLease: (lease: number) => Promise<Result<void, StoreError>>;
  /** Revokes a lease, which removes the entries attached to it. */
  readonly revokeLease: (lease: number) => Promise<Result<void, StoreError>>;
}
