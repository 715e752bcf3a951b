import type { Clock } from '../clock/mod.ts';
import type { StoreError } from '../errors/mod.ts';
import type { RightToGrant } from '../ranges/mod.ts';
import type { LeasedStore, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { NodeEntry } from './node_entry.ts';
import { nodeKey } from './store_keys.ts';

/** Keeps the entry of this node in the store, under a lease. */
export interface OwnEntry {
  /** Writes a changed entry soon. */
  readonly update: (entry: NodeEntry) => void;
  /**
   * Revision of the store at which the entry came to be, the last time after it was missing. Keys
   * may have got other owners before, so only what was read since then may be granted from.
   */
  readonly createdAt: () => number;
  /** Keeps the entry until `signal` aborts. */
  readonly keep: (signal: AbortSignal) => Promise<void>;
}

/** Options of the entry. */
export interface OwnEntryOptions {
  readonly clock: Clock;
  readonly store: LeasedStore;
  readonly logger: Logger;
  readonly right: RightToGrant;
  readonly entry: NodeEntry;
  /** Told of each entry as written. */
  readonly onWritten?: (entry: StoreEntry) => void;
}

/** The lease outlives two lost renewals; peers notice a lost node sooner by its connections. */
const LEASE_MS = 3500;
const RENEW_INTERVAL_MS = 1000;
/** While the store fails; entries that lapsed meanwhile must be back within two seconds. */
const RETRY_INTERVAL_MS = 500;
/**
 * A renewal does not show whether the entry is still there, so it is read once in a while. The
 * right to grant lasts several times as long.
 */
const READ_INTERVAL_MS = 3000;

/**
 * Creates the keeper of this node's entry. Every write names the revision that it replaces, since
 * the store may carry out a write seconds after its reply was lost.
 *
 * @param options Clock, store, logger, right to grant and first entry.
 * @returns The keeper.
 *
 * @example
 * const own = createOwnEntry({ clock, store, logger, right, entry });
 * void own.keep(signal);
 */
export const createOwnEntry = (options: OwnEntryOptions): OwnEntry => {
  const { clock, store, right } = options;
  const logger = options.logger.forPart('directory');
  const key = nodeKey(options.entry.node);
  let wanted = JSON.stringify(options.entry);
  let written: string | undefined;
  let revision = 0;
  let createdAt = Infinity;
  let lease: number | undefined;
  let readAt = -Infinity;
  let reachable = true;
  let wake: () => void = () => undefined;

  const note = (error: StoreError | undefined) => {
    const isReachable = error === undefined || error.kind === 'conflict'
      || error.kind === 'lease-ended';
    if (isReachable === reachable) return;
    reachable = isReachable;
    if (isReachable) logger.info({ lease }, 'the store answers again');
    else logger.warn({ lease, reason: error?.message }, 'the store cannot be reached');
  };

  const openLease = async (): Promise<boolean> => {
    const opened = await store.openLease(LEASE_MS);
    note(opened.isErr() ? opened.error : undefined);
    if (opened.isErr()) return false;
    lease = opened.value;
    written = undefined;
    return true;
  };

  /** Reads the entry and learns its revision; tells whether it is there as written. */
  const read = async (): Promise<boolean> => {
    const sent = right.readClocks();
    const found = await store.get(key);
    note(found.isErr() ? found.error : undefined);
    if (found.isErr()) return false;
    revision = found.value?.revision ?? 0;
    const isThere = found.value !== undefined && found.value.value === written;
    if (isThere) {
      readAt = clock.now();
      right.confirm(sent);
    } else if (written !== undefined) {
      logger.warn({ lease, revision }, 'the entry is missing or was replaced');
      written = undefined;
    }
    return isThere;
  };

  const write = async (): Promise<boolean> => {
    const text = wanted;
    const sent = right.readClocks();
    const result = await store.transact({
      expect: [{ key, revision }], puts: [{ key, value: text, lease: lease! }],
    });
    note(result.isErr() ? result.error : undefined);
    if (result.isOk()) {
      if (written === undefined || revision === 0) createdAt = result.value;
      revision = result.value;
      written = text;
      readAt = clock.now();
      right.confirm(sent);
      options.onWritten?.({ key, revision, value: text });
      logger.info({ lease, revision }, 'wrote the entry');
      return true;
    }
    if (result.error.kind === 'lease-ended') lease = undefined;
    else await read();
    return false;
  };

  const renew = async (): Promise<boolean> => {
    const kept = await store.keepLease(lease!);
    note(kept.isErr() ? kept.error : undefined);
    if (kept.isErr() && kept.error.kind === 'lease-ended') {
      logger.warn({ lease }, 'the lease has ended');
      lease = undefined;
    }
    return kept.isOk();
  };

  /** One step towards an entry that is written and fresh; false asks for an early repeat. */
  const step = async (): Promise<boolean> => {
    if (lease === undefined && !await openLease()) return false;
    if (written !== wanted) return write();
    if (!await renew()) return false;
    return clock.now() - readAt < READ_INTERVAL_MS || read();
  };

  const keep = async (signal: AbortSignal) => {
    while (!signal.aborted) {
      const done = await step();
      if (done && written !== wanted) continue;
      // A lost lease or a conflict is settled by the next step at once, an outage is not.
      const isEarly = !done && reachable && (lease === undefined || written !== wanted);
      const pauseMs = done ? RENEW_INTERVAL_MS : RETRY_INTERVAL_MS;
      const waking = new AbortController();
      wake = () => waking.abort();
      const either = AbortSignal.any([signal, waking.signal]);
      await clock.sleep(isEarly ? 20 : pauseMs, either);
      wake = () => undefined;
    }
  };

  return {
    update: (entry) => {
      wanted = JSON.stringify(entry);
      if (wanted !== written && reachable) wake();
    },
    createdAt: () => createdAt,
    keep,
  };
};
