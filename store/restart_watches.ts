import { err, type Result } from 'neverthrow';
import { StoreError } from '../errors/mod.ts';
import type { LeasedStore } from './leased_store.ts';

/** Told how many watches were ended and begun again. */
export interface RestartWatchesOptions {
  readonly onRestart?: (watches: number) => void;
}

const STEP = 'store.watch';

/**
 * Ends the open watches of a store when another call succeeds after one that got no answer. A watch
 * that was sent into an outage or a partition may never be answered, and waits for its own time
 * limit, which is longer than a changed contract may take to be in force.
 *
 * @param store The store.
 * @param options Listener.
 * @returns The store with watches that fail with `unavailable` once it answers again.
 *
 * @example
 * const store = restartWatches(createPlatformStore({ address }));
 */
export const restartWatches = (
  store: LeasedStore,
  options: RestartWatchesOptions = {},
): LeasedStore => {
  const watches = new Set<AbortController>();
  let isFailing = false;

  const restart = () => {
    options.onRestart?.(watches.size);
    for (const watch of watches) watch.abort();
    watches.clear();
  };

  const observe = async <T>(
    pending: Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> => {
    const result = await pending;
    const { kind } = result.isErr() ? result.error : { kind: undefined };
    if (kind === 'unavailable' || kind === 'unknown') {
      isFailing = true;
    } else if (isFailing) {
      isFailing = false;
      restart();
    }
    return result;
  };

  const changes: LeasedStore['changes'] = async (prefix, after, { signal, ...wait }) => {
    const watch = new AbortController();
    watches.add(watch);
    const either = signal === undefined ? watch.signal : AbortSignal.any([signal, watch.signal]);
    const ended = new Promise<Result<never, StoreError>>((resolve) => {
      watch.signal.addEventListener('abort', () => resolve(err(new StoreError(
        'unavailable',
        'the store answers again, so the watch begins anew',
        { step: STEP, peer: '' },
      ))), { once: true });
    });
    const result = await Promise.race([
      store.changes(prefix, after, { ...wait, signal: either }), ended,
    ]);
    watches.delete(watch);
    return result;
  };

  return {
    get: (key) => observe(store.get(key)),
    list: (prefix) => observe(store.list(prefix)),
    transact: (transaction) => observe(store.transact(transaction)),
    openLease: (ttlMs) => observe(store.openLease(ttlMs)),
    keepLease: (lease) => observe(store.keepLease(lease)),
    endLease: (lease) => observe(store.endLease(lease)),
    changes,
  };
};
