import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError, type StoreErrorKind } from '../errors/mod.ts';
import type { Store, StoreEntry } from './store.ts';

/** Faults of an in-memory store, which tests switch on and off. */
export interface StoreFaults {
  /** While down, every call fails with `unavailable`; waiting watches fail at once. */
  readonly setDown: (down: boolean) => void;
  /** Sets the delay of every call in ms. */
  readonly setDelay: (delayMs: number) => void;
  /**
   * Makes the next `count` successful compare-and-swap calls fail with `unknown` after they took
   * effect.
   */
  readonly loseReplies: (count: number) => void;
}

/** Number of calls so far; a waiting watch counts as one. */
export interface StoreCounters {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

/** An in-memory store with fault injection, for tests and for the stand-in store server. */
export interface MemoryStore extends Store, StoreFaults {
  readonly counters: () => StoreCounters;
}

/** Maximum size of a value in bytes of UTF-8. */
export const MAX_VALUE_BYTES = 1024 * 1024;

interface Waiter {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly settle: (outcome: Result<readonly StoreEntry[], StoreError>) => void;
}

/**
 * Creates an empty in-memory store. Revisions are store-wide and increase by one with each write.
 *
 * @param clock The clock for delayed calls.
 * @returns The store, with methods that inject faults.
 *
 * @example
 * const store = createMemoryStore(createFakeClock());
 * await store.compareAndSwap('contracts/acme', 0, '{}');
 */
export const createMemoryStore = (clock: Clock): MemoryStore => {
  const entries = new Map<string, StoreEntry>();
  const waiters = new Set<Waiter>();
  let revision = 0;
  let down = false;
  let delayMs = 0;
  let repliesLeftToLose = 0;
  let counters: StoreCounters = { reads: 0, writes: 0, watches: 0 };

  const fail = (kind: StoreErrorKind, reason: string, step: string) => (
    err(new StoreError(kind, reason, { step, peer: 'memory' }))
  );

  const unavailable = (step: string) => fail('unavailable', 'the store is down', step);

  const entriesWithPrefix = (prefix: string, afterRevision: number) => [...entries.values()]
    .filter((entry) => entry.key.startsWith(prefix) && entry.revision > afterRevision)
    .sort((left, right) => (left.key < right.key ? -1 : 1));

  const notify = () => {
    for (const waiter of [...waiters]) {
      const found = entriesWithPrefix(waiter.prefix, waiter.afterRevision);
      if (found.length > 0) waiter.settle(ok(found));
    }
  };

  const write = (
    key: string,
    expectedRevision: number,
    value: string,
  ): Result<number, StoreError> => {
    const step = 'store.compareAndSwap';
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return fail('too-large', `value of ${key} exceeds ${MAX_VALUE_BYTES} bytes`, step);
    }
    const current = entries.get(key)?.revision ?? 0;
    if (current !== expectedRevision) {
      return fail('conflict', `${key} is at revision ${current}, not ${expectedRevision}`, step);
    }
    revision += 1;
    entries.set(key, { key, revision, value });
    notify();
    return ok(revision);
  };

  const watch: Store['watch'] = async (prefix, afterRevision, options = {}) => {
    counters = { ...counters, watches: counters.watches + 1 };
    if (delayMs > 0) await clock.sleep(delayMs);
    if (down) return unavailable('store.watch');
    const found = entriesWithPrefix(prefix, afterRevision);
    if (found.length > 0 || options.signal?.aborted) return ok(found);
    return new Promise((resolve) => {
      let onAbort = () => undefined as void;
      const waiter: Waiter = {
        prefix,
        afterRevision,
        settle: (outcome) => {
          waiters.delete(waiter);
          options.signal?.removeEventListener('abort', onAbort);
          resolve(outcome);
        },
      };
      waiters.add(waiter);
      onAbort = () => waiter.settle(ok([]));
      options.signal?.addEventListener('abort', onAbort, { once: true });
    });
  };

  return {
    get: async (key) => {
      counters = { ...counters, reads: counters.reads + 1 };
      if (delayMs > 0) await clock.sleep(delayMs);
      return down ? unavailable('store.get') : ok(entries.get(key));
    },
    list: async (prefix) => {
      counters = { ...counters, reads: counters.reads + 1 };
      if (delayMs > 0) await clock.sleep(delayMs);
      return down ? unavailable('store.list') : ok(entriesWithPrefix(prefix, 0));
    },
    compareAndSwap: async (key, expectedRevision, value) => {
      counters = { ...counters, writes: counters.writes + 1 };
      if (delayMs > 0) await clock.sleep(delayMs);
      if (down) return unavailable('store.compareAndSwap');
      const outcome = write(key, expectedRevision, value);
      if (repliesLeftToLose === 0 || outcome.isErr()) return outcome;
      repliesLeftToLose -= 1;
      return fail('unknown', 'the reply was lost', 'store.compareAndSwap');
    },
    watch,
    setDown: (value) => {
      down = value;
      if (!down) return;
      for (const waiter of [...waiters]) waiter.settle(unavailable('store.watch'));
    },
    setDelay: (value) => {
      delayMs = value;
    },
    loseReplies: (count) => {
      repliesLeftToLose = count;
    },
    counters: () => counters,
  };
};
