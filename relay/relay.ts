import type { StoreEntry } from '../store/mod.ts';

/** Called after a newer entry was accepted. */
export type EntryListener = (entry: StoreEntry) => void;

/**
 * The newest contracts and placement records that this node knows. A lower revision is never
 * accepted.
 */
export interface Relay {
  readonly current: (key: string) => StoreEntry | undefined;
  /** All known entries whose key starts with `prefix`. */
  readonly list: (prefix: string) => readonly StoreEntry[];
  /** Accepts an entry that was read from or written to the store and announces it to peers. */
  readonly publish: (entry: StoreEntry) => void;
  /**
   * Listens to entries whose key starts with `prefix`; returns a function that removes the
   * listener.
   */
  readonly onChange: (prefix: string, listener: EntryListener) => () => void;
  readonly stop: () => Promise<void>;
}
