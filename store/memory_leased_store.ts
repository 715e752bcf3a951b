import { err, ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError, type StoreErrorKind } from '../errors/mod.ts';
import type { EraReportingStore, OnEra } from './follow_eras.ts';
import type { EntryChanges, RemovedEntry, Transaction } from './leased_store.ts';
import type { StoreEntry } from './store.ts';

/** Faults of an in-memory store, which tests switch on and off. */
export interface LeasedStoreFaults {
  /** When set, every call fails with this kind and has no effect. */
  failWith: StoreErrorKind | undefined;
  /** When true, transactions take effect but fail with `unknown`, as if the reply was lost. */
  loseReplies: boolean;
  /** When true, leases do not expire. */
  leaseExpiryPaused: boolean;
}

/** The content of an in-memory store at one moment. */
export interface StoreCopy {
  readonly entries: readonly StoredEntry[];
  readonly leases: ReadonlyMap<number, Lease>;
  readonly revision: number;
  readonly nextLease: number;
}

/** An in-memory store with leases, for tests and for the stand-in platform store. */
export interface MemoryLeasedStore extends EraReportingStore {
  /** Sets the era that responses name; without a call, the store has no eras. */
  readonly setEra: (era: number) => void;
  /** Returns the era that responses name; undefined if the store has no eras. */
  readonly era: () => number | undefined;
  readonly copy: () => StoreCopy;
  /**
   * Goes back to a copy under the next era. Later writes and leases are gone, their revisions and
   * lease numbers are issued again, and watches from an unknown revision fail with `compacted`.
   */
  readonly restore: (copy: StoreCopy) => void;
  readonly faults: LeasedStoreFaults;
  /** Expires all leases at once, as after an outage in which none was renewed. */
  readonly expireAllLeases: () => void;
  /** Removes an entry, even if its lease is still valid. */
  readonly removeEntry: (key: string) => void;
  /** Discards the history, so that watches from an earlier revision fail with `compacted`. */
  readonly compact: () => void;
  /** Returns the number of calls so far. */
  readonly calls: () => number;
}

interface Lease {
  readonly ttlMs: number;
  readonly endsAt: number;
}

interface StoredEntry extends StoreEntry {
  readonly lease: number;
}

const STEP = 'store.memory';

/**
 * Creates an empty in-memory store with leases.
 *
 * @param clock The clock for lease expiry and watch timeouts.
 * @returns The store and its faults.
 *
 * @example
 * const store = createMemoryLeasedStore(clock);
 */
export const createMemoryLeasedStore = (clock: Clock): MemoryLeasedStore => {
  const entries = new Map<string, StoredEntry>();
  const leases = new Map<number, Lease>();
  const waiters = new Set<() => void>();
  const faults: LeasedStoreFaults = {
    failWith: undefined, loseReplies: false, leaseExpiryPaused: false,
  };
  let history: (StoreEntry | RemovedEntry)[] = [];
  let revision = 1;
  let compactedAt = 0;
  let nextLease = 1;
  let calls = 0;
  let era: number | undefined;

  const fail = (kind: StoreErrorKind) => err(new StoreError(kind, kind, { step: STEP }));

  const wakeWatches = () => {
    for (const wake of [...waiters]) wake();
  };

  const remove = (key: string) => {
    if (!entries.delete(key)) return;
    revision += 1;
    history.push({ key, revision, removed: true });
  };

  const removeLease = (lease: number) => {
    leases.delete(lease);
    for (const [key, entry] of [...entries]) if (entry.lease === lease) remove(key);
  };

  const expireLeases = () => {
    if (faults.leaseExpiryPaused || faults.failWith !== undefined) return;
    const before = revision;
    for (const [id, { endsAt }] of [...leases]) if (endsAt <= clock.now()) removeLease(id);
    if (revision > before) wakeWatches();
  };

  const beginCall = (onEra?: OnEra) => {
    calls += 1;
    expireLeases();
    // A store that is out of reach sends no response.
    if (faults.failWith === undefined) onEra?.(era);
    return faults.failWith;
  };

  const apply = ({ expect, puts, removals = [] }: Transaction) => {
    for (const { key, revision: expected } of expect) {
      if ((entries.get(key)?.revision ?? 0) !== expected) return fail('conflict');
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
    wakeWatches();
    return ok(revision);
  };

  const findChanges = (prefix: string, after: number): EntryChanges => ({
    isCurrent: true,
    events: history.filter((event) => event.key.startsWith(prefix) && event.revision > after),
    at: revision,
  });

  const watch: EraReportingStore['watch'] = async (prefix, after, { waitMs, signal }, onEra) => {
    const fault = beginCall();
    if (fault !== undefined) return fail(fault);
    const endsAt = clock.now() + waitMs;
    for (;;) {
      // The history may be discarded while the watch waits, too.
      if (after < compactedAt || after > revision) {
        onEra?.(era);
        return fail('compacted');
      }
      const found = findChanges(prefix, after);
      if (found.events.length > 0 || clock.now() >= endsAt || signal?.aborted) {
        onEra?.(era);
        return ok(found);
      }
      const wakeController = new AbortController();
      const wake = () => wakeController.abort();
      waiters.add(wake);
      const wakeOrStop = signal === undefined
        ? wakeController.signal
        : AbortSignal.any([signal, wakeController.signal]);
      await clock.sleep(Math.min(100, endsAt - clock.now()), wakeOrStop);
      waiters.delete(wake);
      expireLeases();
      if (faults.failWith !== undefined) return fail(faults.failWith);
    }
  };

  return {
    faults,
    get: async (key, onEra) => {
      const fault = beginCall(onEra);
      return fault === undefined ? ok(entries.get(key)) : fail(fault);
    },
    list: async (prefix, onEra) => {
      const fault = beginCall(onEra);
      if (fault !== undefined) return fail(fault);
      const found = [...entries.values()].filter(({ key }) => key.startsWith(prefix));
      return ok({ entries: found, at: revision });
    },
    watch,
    transact: async (transaction, onEra) => {
      const fault = beginCall();
      if (fault !== undefined) return fail(fault);
      const result = apply(transaction);
      if (result.isOk() && faults.loseReplies) return fail('unknown');
      onEra?.(era);
      return result;
    },
    grantLease: async (ttlMs, onEra) => {
      const fault = beginCall(onEra);
      if (fault !== undefined) return fail(fault);
      const id = nextLease;
      nextLease += 1;
      leases.set(id, { ttlMs, endsAt: clock.now() + ttlMs });
      return ok(id);
    },
    renewLease: async (id, onEra) => {
      const fault = beginCall(onEra);
      if (fault !== undefined) return fail(fault);
      const lease = leases.get(id);
      if (lease === undefined) return fail('lease-ended');
      leases.set(id, { ...lease, endsAt: clock.now() + lease.ttlMs });
      return ok(undefined);
    },
    revokeLease: async (id, onEra) => {
      const fault = beginCall(onEra);
      if (fault !== undefined) return fail(fault);
      removeLease(id);
      wakeWatches();
      return ok(undefined);
    },
    expireAllLeases: () => {
      for (const id of [...leases.keys()]) removeLease(id);
      wakeWatches();
    },
    removeEntry: (key) => {
      remove(key);
      wakeWatches();
    },
    compact: () => {
      history = [];
      compactedAt = revision;
    },
    calls: () => calls,
    setEra: (value) => {
      era = value;
    },
    era: () => era,
    copy: () => ({
      entries: [...entries.values()], leases: new Map(leases), revision, nextLease,
    }),
    restore: (copy) => {
      entries.clear();
      leases.clear();
      for (const entry of copy.entries) entries.set(entry.key, entry);
      for (const [id, lease] of copy.leases) leases.set(id, lease);
      ({ revision, nextLease } = copy);
      history = history.filter((event) => event.revision <= revision);
      compactedAt = Math.min(compactedAt, revision);
      era = (era ?? 0) + 1;
      wakeWatches();
    },
  };
};
