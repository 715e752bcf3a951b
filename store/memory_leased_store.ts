import { err, ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError, type StoreErrorKind } from '../errors/mod.ts';
import type {
  EntryChanges, LeasedStore, RemovedEntry, Transaction,
} from './leased_store.ts';
import type { StoreEntry } from './store.ts';

/** Faults of a memory store, changed by tests while it runs. */
export interface LeasedStoreFaults {
  /** Every call fails with this kind and has no effect. */
  down: StoreErrorKind | undefined;
  /** Transactions take effect, and their replies are lost. */
  loseReplies: boolean;
  /** Leases do not end. */
  leasesPaused: boolean;
}

/** A leased store in memory, for tests. */
export interface MemoryLeasedStore extends LeasedStore {
  readonly faults: LeasedStoreFaults;
  /** Ends all leases at once, as a store does that let them lapse in an outage. */
  readonly lapseAll: () => void;
  /** Removes an entry whatever its lease. */
  readonly withdraw: (key: string) => void;
  /** Forgets the history, so that watches fail. */
  readonly compact: () => void;
  readonly calls: () => number;
}

interface Lease {
  readonly ttlMs: number;
  endsAt: number;
}

const STEP = 'store.memory';

/**
 * Creates an empty store.
 *
 * @param clock Clock of the leases.
 * @returns The store and its faults.
 *
 * @example
 * const store = createMemoryLeasedStore(clock);
 */
export const createMemoryLeasedStore = (clock: Clock): MemoryLeasedStore => {
  const entries = new Map<string, StoreEntry & { readonly lease: number }>();
  const leases = new Map<number, Lease>();
  const waiters = new Set<() => void>();
  const faults: LeasedStoreFaults = { down: undefined, loseReplies: false, leasesPaused: false };
  let history: (StoreEntry | RemovedEntry)[] = [];
  let revision = 1;
  let compactedAt = 0;
  let nextLease = 1;
  let calls = 0;

  const fail = (kind: StoreErrorKind) => err(new StoreError(kind, kind, { step: STEP }));

  const wakeAll = () => {
    for (const wake of [...waiters]) wake();
  };

  const remove = (key: string) => {
    if (!entries.delete(key)) return;
    revision += 1;
    history.push({ key, revision, removed: true });
  };

  const endLease = (lease: number) => {
    leases.delete(lease);
    for (const [key, entry] of [...entries]) if (entry.lease === lease) remove(key);
  };

  const expire = () => {
    if (faults.leasesPaused || faults.down !== undefined) return;
    const before = revision;
    for (const [id, { endsAt }] of [...leases]) if (endsAt <= clock.now()) endLease(id);
    if (revision > before) wakeAll();
  };

  const begin = () => {
    calls += 1;
    expire();
    return faults.down;
  };

  const apply = ({ expect, puts, removals = [] }: Transaction) => {
    for (const { key, revision: wanted } of expect) {
      if ((entries.get(key)?.revision ?? 0) !== wanted) return fail('conflict');
    }
    for (const { lease } of puts) {
      if (lease !== undefined && !leases.has(lease)) return fail('lease-ended');
    }
    revision += 1;
    for (const { key, value, lease = 0 } of puts) {
      const entry = { key, revision, value };
      entries.set(key, { ...entry, lease });
      history.push(entry);
    }
    for (const key of removals) remove(key);
    wakeAll();
    return ok(revision);
  };

  const changesAfter = (prefix: string, after: number): EntryChanges => ({
    events: history.filter((event) => event.key.startsWith(prefix) && event.revision > after),
    at: revision,
  });

  const changes: LeasedStore['changes'] = async (prefix, after, { waitMs, signal }) => {
    const down = begin();
    if (down !== undefined) return fail(down);
    if (after < compactedAt) return fail('compacted');
    const endsAt = clock.now() + waitMs;
    for (;;) {
      const found = changesAfter(prefix, after);
      if (found.events.length > 0 || clock.now() >= endsAt || signal?.aborted) return ok(found);
      const waking = new AbortController();
      const wake = () => waking.abort();
      waiters.add(wake);
      const both = signal === undefined
        ? waking.signal
        : AbortSignal.any([signal, waking.signal]);
      await clock.sleep(Math.min(100, endsAt - clock.now()), both);
      waiters.delete(wake);
      expire();
      if (faults.down !== undefined) return fail(faults.down);
    }
  };

  return {
    faults,
    get: async (key) => {
      const down = begin();
      return down === undefined ? ok(entries.get(key)) : fail(down);
    },
    list: async (prefix) => {
      const down = begin();
      if (down !== undefined) return fail(down);
      const found = [...entries.values()].filter(({ key }) => key.startsWith(prefix));
      return ok({ entries: found, at: revision });
    },
    changes,
    transact: async (transaction) => {
      const down = begin();
      if (down !== undefined) return fail(down);
      const result = apply(transaction);
      return result.isOk() && faults.loseReplies ? fail('unknown') : result;
    },
    openLease: async (ttlMs) => {
      const down = begin();
      if (down !== undefined) return fail(down);
      const id = nextLease;
      nextLease += 1;
      leases.set(id, { ttlMs, endsAt: clock.now() + ttlMs });
      return ok(id);
    },
    keepLease: async (id) => {
      const down = begin();
      if (down !== undefined) return fail(down);
      const lease = leases.get(id);
      if (lease === undefined) return fail('lease-ended');
      lease.endsAt = clock.now() + lease.ttlMs;
      return ok(undefined);
    },
    endLease: async (id) => {
      const down = begin();
      if (down !== undefined) return fail(down);
      endLease(id);
      wakeAll();
      return ok(undefined);
    },
    lapseAll: () => {
      for (const id of [...leases.keys()]) endLease(id);
      wakeAll();
    },
    withdraw: (key) => {
      remove(key);
      wakeAll();
    },
    compact: () => {
      history = [];
      compactedAt = revision;
    },
    calls: () => calls,
  };
};
