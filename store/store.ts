import type { Result } from 'neverthrow';
import type { StoreError } from '../errors/mod.ts';

/** One value of the store and its revision. Revisions of a key only rise. */
export interface StoreEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: string;
}

/** Options of a waiting call. */
export interface WatchOptions {
  /** Ends the watch early; it then resolves to `undefined`. */
  readonly signal?: AbortSignal;
}

/** The platform's key-value service. Every call may fail with `unavailable` or `unknown`. */
export interface Store {
  /** Reads one key; `undefined` when it has no value. */
  readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;
  /** Reads all entries whose key starts with `prefix`, in order of key. */
  readonly list: (prefix: string) => Promise<Result<readonly StoreEntry[], StoreError>>;
  /**
   * Writes `value` when the key's revision is `expectedRevision` (0: the key has no value yet).
   * Returns the new revision; fails with `conflict` when the revision differs and with `unknown`
   * when the reply was lost.
   */
  readonly compareAndSwap: (
    key: string,
    expectedRevision: number,
    value: string,
  ) => Promise<Result<number, StoreError>>;
  /**
   * Waits until an entry under `prefix` has a store-wide revision above `afterRevision` and returns
   * all such entries.
   */
  readonly watch: (
    prefix: string,
    afterRevision: number,
    options?: WatchOptions,
  ) => Promise<Result<readonly StoreEntry[], StoreError>>;
}
