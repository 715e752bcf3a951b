import { err, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { EntryListener, Relay } from '../relay/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';

const POLL_MS = 400;

/** Wraps a store for one process. While the process is cut off, calls fail without an effect. */
export const createPartitionableStore = (store: Store, isCut: () => boolean): Store => {
  const unlessCut = async <T>(call: () => Promise<Result<T, StoreError>>) => (
    isCut() ? err(new StoreError('unavailable', 'cut off', { step: 'store.call' })) : call()
  );
  return {
    get: (...parameters) => unlessCut(() => store.get(...parameters)),
    list: (...parameters) => unlessCut(() => store.list(...parameters)),
    compareAndSwap: (...parameters) => unlessCut(() => store.compareAndSwap(...parameters)),
    watch: (...parameters) => unlessCut(() => store.watch(...parameters)),
  };
};

/** Creates the relay of one process for one record. It polls the store in place of a watch. */
export const createTestRelay = (
  store: Store,
  clock: Clock,
  broadcast: (entry: StoreEntry) => void,
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
      if (accept(entry)) broadcast(entry);
    },
    onChange: (_, listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    stop: async () => undefined,
  };
  return { relay, accept };
};
