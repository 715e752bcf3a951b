import type { StoreEntry } from '../store/mod.ts';

/** Called after a newer entry has been accepted. */
export type EntryListener = (entry: StoreEntry) => void;

/**
 * The newest contracts and placement records that this node knows. The revision of a key never
 * decreases.
 */
export interface Relay {
  /** Returns the newest known entry of a key. */
  readonly current: (key: string) => StoreEntry | undefined;
  /** Returns all known entries whose key starts with `prefix`, sorted by key. */
  readonly list: (prefix: string) => readonly StoreEntry[];
  /** Accepts an entry that was read from or written to the store and announces it to peers. */
  readonly publish: (entry: StoreEntry) => void;
  /**
   * Adds a listener for accepted entries whose key starts with `prefix`; returns a function that
   * removes it.
   */
  readonly onChange: (prefix: string, listener: EntryListener) => () => void;
  readonly stop: () => Promise<void>;
}
