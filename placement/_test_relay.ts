import type { Relay } from '../relay/mod.ts';
import type { StoreEntry } from '../store/mod.ts';

/** Creates an in-process relay for several nodes; entries reach all listeners synchronously. */
export const createTestRelay = (): Relay => {
  const entries = new Map<string, StoreEntry>();
  const listeners = new Set<{ prefix: string; listener: (entry: StoreEntry) => void }>();
  return {
    current: (key) => entries.get(key),
    list: (prefix) => [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
    publish: (entry) => {
      if (entry.revision <= (entries.get(entry.key)?.revision ?? 0)) return;
      entries.set(entry.key, entry);
      for (const { prefix, listener } of [...listeners]) {
        if (entry.key.startsWith(prefix)) listener(entry);
      }
    },
    onChange: (prefix, listener) => {
      const added = { prefix, listener };
      listeners.add(added);
      return () => {
        listeners.delete(added);
      };
    },
    stop: async () => undefined,
  };
};
