import type { Clock } from '../clock/mod.ts';
import type { EntryListener, Relay } from '../relay/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';

const POLL_MS = 400;

/** The relay of one process for one record; a poll of the store stands in for the watches. */
export const createTestRelay = (
  store: Store,
  clock: Clock,
  spread: (entry: StoreEntry) => void,
) => {
  const listeners = new Set<EntryListener>();
  let known: StoreEntry | undefined;

  const accept = (entry: StoreEntry | undefined): boolean => {
    if (!entry || entry.revision <= (known?.revision ?? 0)) return false;
    known = entry;
    for (const listener of [...listeners]) listener(entry);
    return true;
  };

  const poll = async () => {
    const read = await store.list('placement/');
    clock.schedule(0, () => accept(read.unwrapOr([])[0]));
    clock.schedule(POLL_MS, poll);
  };
  clock.schedule(POLL_MS, poll);

  const relay: Relay = {
    current: () => known,
    list: () => (known ? [known] : []),
    publish: (entry) => {
      if (accept(entry)) spread(entry);
    },
    onChange: (_, listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    stop: async () => undefined,
  };
  return { relay, accept };
};
