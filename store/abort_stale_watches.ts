import { err, type Result } from 'neverthrow';
import { StoreError } from '../errors/mod.ts';
import type { LeasedStore } from './leased_store.ts';

/** Options for aborting stale watches. */
export interface AbortStaleWatchesOptions {
  /** Called with the number of aborted watches each time the store has recovered. */
  readonly onAbort?: (watches: number) => void;
}

const STEP = 'store.watch';

/**
 * Aborts the open watches of a store when a call succeeds after another call or watch got no reply.
 * A watch that was sent during an outage or a partition, or whose connection has gone silent, may
 * never get a reply, and its own timeout is longer than the time within which changes must be seen.
 *
 * @param store The store to wrap.
 * @param options The listener.
 * @returns A store whose open watches fail with `unavailable` when the store recovers, so that the
 *   caller starts new ones.
 *
 * @example
 * const store = abortStaleWatches(createPlatformStore({ address }));
 */
export const abortStaleWatches = (
  store: LeasedStore,
  options: AbortStaleWatchesOptions = {},
): LeasedStore => {
  const controllers = new Set<AbortController>();
  let isFailing = false;

  const abortWatches = () => {
    options.onAbort?.(controllers.size);
    for (const controller of controllers) controller.abort();
    controllers.clear();
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
      abortWatches();
    }
    return result;
  };

  const watch: LeasedStore['watch'] = async (prefix, after, { signal, ...wait }) => {
    const controller = new AbortController();
    controllers.add(controller);
    const abortOrStop = signal === undefined
      ? controller.signal
      : AbortSignal.any([signal, controller.signal]);
    const aborted = new Promise<Result<never, StoreError>>((resolve) => {
      controller.signal.addEventListener('abort', () => resolve(err(new StoreError(
        'unavailable',
        'the watch was aborted because the store recovered',
        { step: STEP, peer: '', isGivenUp: true },
      ))), { once: true });
    });
    const result = await Promise.race([
      store.watch(prefix, after, { ...wait, signal: abortOrStop }), aborted,
    ]);
    controllers.delete(controller);
    // A store that ends a watch early can be reached.
    if (result.isErr() && result.error.isTimeout) isFailing = true;
    return result;
  };

  return {
    get: (key) => observe(store.get(key)),
    list: (prefix) => observe(store.list(prefix)),
    transact: (transaction) => observe(store.transact(transaction)),
    grantLease: (ttlMs) => observe(store.grantLease(ttlMs)),
    renewLease: (lease) => observe(store.renewLease(lease)),
    revokeLease: (lease) => observe(store.revokeLease(lease)),
    watch,
  };
};
