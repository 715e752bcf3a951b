import xxhash from 'xxhash-wasm';
import type { StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { EntryListener } from './relay.ts';

const { h32 } = await xxhash();

/** The newest known entry of each key. */
export interface EntryTable {
  readonly get: (key: string) => StoreEntry | undefined;
  /** Returns the entries whose key starts with `prefix`, sorted by key. */
  readonly list: (prefix: string) => readonly StoreEntry[];
  /**
   * Stores an entry if its revision is higher than the known one and its key is relayed. Returns
   * whether it was stored; new keys are rejected once the table is full.
   */
  readonly accept: (entry: StoreEntry) => boolean;
  /** Returns a 32-bit hash that is equal for tables that hold the same revisions. */
  readonly digest: () => number;
  /** Adds a listener for stored entries; returns a function that removes it. */
  readonly onChange: (prefix: string, listener: EntryListener) => () => void;
}

interface Subscription {
  readonly prefix: string;
  readonly listener: EntryListener;
}

const UINT32 = 2 ** 32;
const MAX_ENTRIES = 100_000;

const hashOf = ({ key, revision }: StoreEntry) => h32(`${key}\n${revision}`);

/** Creates an empty table for the keys that start with one of the prefixes. */
export const createEntryTable = (prefixes: readonly string[], logger: Logger): EntryTable => {
  const entries = new Map<string, StoreEntry>();
  const subscriptions = new Set<Subscription>();
  let digest = 0;

  const notify = (entry: StoreEntry) => {
    for (const { prefix, listener } of subscriptions) {
      if (!entry.key.startsWith(prefix)) continue;
      try {
        listener(entry);
      } catch (error) {
        const { key, revision } = entry;
        logger.error({
          step: 'relay.notify', key, revision, err: error,
        }, 'an entry listener threw an error');
      }
    }
  };

  return {
    get: (key) => entries.get(key),
    list: (prefix) => [...entries.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .sort((left, right) => (left.key < right.key ? -1 : 1)),
    accept: (entry) => {
      const known = entries.get(entry.key);
      if (entry.revision <= (known?.revision ?? 0)) return false;
      const isRelayed = prefixes.some((prefix) => entry.key.startsWith(prefix));
      if (!isRelayed || (known === undefined && entries.size >= MAX_ENTRIES)) return false;
      entries.set(entry.key, entry);
      digest = (digest + hashOf(entry) + UINT32 - (known ? hashOf(known) : 0)) % UINT32;
      notify(entry);
      return true;
    },
    digest: () => digest,
    onChange: (prefix, listener) => {
      const subscription = { prefix, listener };
      subscriptions.add(subscription);
      return () => subscriptions.delete(subscription);
    },
  };
};
