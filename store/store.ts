import type { Result } from 'neverthrow';
import type { StoreError } from '../errors/mod.ts';

/** A key, its value and its revision. The revisions of a key only increase. */
export interface StoreEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: string;
}

/** Options of a watch. */
export interface WatchOptions {
  /** Ends the watch early; it then resolves to an empty list. */
  readonly signal?: AbortSignal;
}

/**
 * A key-value store with revisions. Any call may fail with `unavailable`, and a write also with
 * `unknown`.
 */
export interface Store {
  /** Reads one key; `undefined` if it has no value. */
  readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;
  /** Reads all entries whose key starts with `prefix`, sorted by key. */
  readonly list: (prefix: string) => Promise<Result<readonly StoreEntry[], StoreError>>;
  /**
   * Writes `value` if the key has the revision `expectedRevision`, where 0 means no value yet.
   * Returns the new revision; fails with `conflict` if the revision differs and with `unknown` if
   * the reply was lost.
   */
  readonly compareAndSwap: (
    key: string,
    expectedRevision: number,
    value: string,
  ) => Promise<Result<number, StoreError>>;
  /**
   * Waits until an entry under `prefix` has a revision above `afterRevision`, which is store-wide,
   * and returns all such entries.
   */
  readonly watch: (
    prefix: string,
    afterRevision: number,
    options?: WatchOptions,
  ) => Promise<Result<readonly StoreEntry[], StoreError>>;
}
