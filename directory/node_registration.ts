import type { Clock } from '../clock/mod.ts';
import type { StoreError } from '../errors/mod.ts';
import type { ClockReading, RightToGrant } from '../ranges/mod.ts';
import type { LeasedStore, StoreEras } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { decodeNodeEntry, type NodeEntry } from './node_entry.ts';
import { nodeKey } from './store_keys.ts';
import type { StoreView } from './store_view.ts';

/** Registers this node in the store: keeps its entry there under a lease. */
export interface NodeRegistration {
  /** Replaces the entry; it is written as soon as the store is reachable. */
  readonly update: (entry: NodeEntry) => void;
  /**
   * Returns the store revision at which the entry was last created, initially or after it went
   * missing; `Infinity` before the first write. While the entry was missing, keys may have been
   * assigned to other owners, so keys may be granted only from data read at this revision or later.
   */
  readonly createdAt: () => number;
  /** Maintains the entry and its lease until `signal` aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of a node registration. */
export interface NodeRegistrationOptions {
  readonly clock: Clock;
  readonly store: LeasedStore;
  readonly logger: Logger;
  /** Confirmed each time the store shows that the entry is present. */
  readonly right: RightToGrant;
  /** The first entry to write. */
  readonly entry: NodeEntry;
  /** Called with the entry that an earlier process of this node left, before it is replaced. */
  readonly onFormerEntry?: (entry: NodeEntry) => void;
  /** Called when the entry is first written; its former value is known by then. */
  readonly onFirstWrite?: () => void;
  /** View of the store that gets each entry after it is written, and that shows its presence. */
  readonly view?: Pick<StoreView, 'apply' | 'get' | 'onCurrent'>;
  /** Eras of the store; after a rise the lease and the entry are gone. */
  readonly eras?: Pick<StoreEras, 'onRise'>;
}

/** The lease survives two lost renewals; peers detect a lost node earlier by its connections. */
const LEASE_MS = 3500;
const RENEW_INTERVAL_MS = 1000;
/**
 * Retry interval while calls to the store fail. Entries that expired during an outage must be
 * rewritten within 2 s of the store's recovery.
 */
const RETRY_INTERVAL_MS = 500;
/**
 * A lease renewal doesn't show whether the entry still exists, so the entry is read when the view
 * has not shown it for this time in ms. The right to grant lasts several times as long.
 */
const READ_INTERVAL_MS = 3000;

/**
 * Creates the registration of this node. Every write is conditional on the revision that it
 * replaces, because the store may apply a write seconds after its reply was lost.
 *
 * @param options The clock, the store, the logger, the right to grant and the first entry.
 * @returns The registration; it makes no call to the store until it is run.
 *
 * @example
 * const own = createNodeRegistration({ clock, store, logger, right, entry });
 * void own.run(signal);
 */
export const createNodeRegistration = (options: NodeRegistrationOptions): NodeRegistration => {
  const { clock, store, right } = options;
  const logger = options.logger.forComponent('directory');
  const key = nodeKey(options.entry.node);
  let desiredValue = JSON.stringify(options.entry);
  let storedValue: string | undefined;
  let revision = 0;
  let createdRevision = Infinity;
  let lease: number | undefined;
  let confirmedAtMs = -Infinity;
  let isStoreReachable = true;
  let hasWritten = false;
  let wake: () => void = () => undefined;

  const updateReachability = (error: StoreError | undefined) => {
    const isReachable = error === undefined || error.kind === 'conflict'
      || error.kind === 'lease-ended';
    if (isReachable === isStoreReachable) return;
    isStoreReachable = isReachable;
    if (isReachable) logger.info({ lease }, 'the store is reachable again');
    else logger.warn({ lease, reason: error?.message }, 'the store is unreachable');
  };

  const requestLease = async (): Promise<boolean> => {
    const opened = await store.grantLease(LEASE_MS);
    updateReachability(opened.isErr() ? opened.error : undefined);
    if (opened.isErr()) return false;
    lease = opened.value;
    storedValue = undefined;
    return true;
  };

  /** Reads the entry and its revision; returns whether it has the value last written. */
  const readEntry = async (): Promise<boolean> => {
    const sent = right.readClocks();
    const found = await store.get(key);
    updateReachability(found.isErr() ? found.error : undefined);
    if (found.isErr()) return false;
    revision = found.value?.revision ?? 0;
    if (!hasWritten && found.value !== undefined) {
      const former = decodeNodeEntry(found.value.value);
      if (former !== undefined) options.onFormerEntry?.(former);
    }
    const isCurrent = found.value !== undefined && found.value.value === storedValue;
    if (isCurrent) {
      confirmedAtMs = sent.at;
      right.confirm(sent);
    } else if (storedValue !== undefined) {
      logger.warn({ lease, revision }, 'the entry of this node is missing or was replaced');
      storedValue = undefined;
    }
    return isCurrent;
  };

  const noteWritten = (written: number, text: string, sent: ClockReading) => {
    if (storedValue === undefined || revision === 0) createdRevision = written;
    revision = written;
    storedValue = text;
    if (!hasWritten) options.onFirstWrite?.();
    hasWritten = true;
    confirmedAtMs = sent.at;
    right.confirm(sent);
    options.view?.apply({ key, revision, value: text });
    logger.info({ lease, revision }, 'wrote the entry of this node');
  };

  /** Reads the entry after a write without a reply; returns whether the write took effect. */
  const readAttempt = async (text: string): Promise<boolean> => {
    const sent = right.readClocks();
    const found = await store.get(key);
    const isWritten = found.isOk() && found.value?.value === text
      && found.value.revision !== revision;
    if (isWritten) noteWritten(found.value.revision, text, sent);
    return isWritten;
  };

  const writeEntry = async (): Promise<boolean> => {
    const text = desiredValue;
    const sent = right.readClocks();
    const result = await store.transact({
      expect: [{ key, revision }], puts: [{ key, value: text, lease: lease! }],
    });
    updateReachability(result.isErr() ? result.error : undefined);
    if (result.isOk()) {
      noteWritten(result.value, text, sent);
      return true;
    }
    // Another write for each lost reply would go on for as long as replies are lost.
    if (result.error.kind === 'unknown' && await readAttempt(text)) return true;
    if (result.error.kind === 'lease-ended') lease = undefined;
    else await readEntry();
    return false;
  };

  const renewLease = async (): Promise<boolean> => {
    const renewed = await store.renewLease(lease!);
    updateReachability(renewed.isErr() ? renewed.error : undefined);
    if (renewed.isErr() && renewed.error.kind === 'lease-ended') {
      logger.warn({ lease }, 'the lease of the node entry has ended');
      lease = undefined;
    }
    return renewed.isOk();
  };

  /**
   * Makes the next call that brings the stored entry up to date or keeps it alive. Returns false
   * when the call failed and should be retried early.
   */
  const reconcile = async (): Promise<boolean> => {
    if (lease === undefined && !await requestLease()) return false;
    if (storedValue !== desiredValue) return writeEntry();
    if (!await renewLease()) return false;
    return clock.now() - confirmedAtMs < READ_INTERVAL_MS || readEntry();
  };

  // The view has no change of the entry after its last write, up to a moment after `sent`.
  options.view?.onCurrent((sent) => {
    if (storedValue === undefined || options.view?.get(key)?.revision !== revision) return;
    confirmedAtMs = Math.max(confirmedAtMs, sent.at);
    right.confirm(sent);
  });

  options.eras?.onRise(() => wake());

  const run = async (signal: AbortSignal) => {
    while (!signal.aborted) {
      const succeeded = await reconcile();
      if (succeeded && storedValue !== desiredValue) continue;
      // The next call resolves an ended lease or a conflict, so it follows almost at once. In an
      // outage the retry interval applies.
      const retriesAtOnce = !succeeded && isStoreReachable
        && (lease === undefined || storedValue !== desiredValue);
      const pauseMs = succeeded ? RENEW_INTERVAL_MS : RETRY_INTERVAL_MS;
      const wakeController = new AbortController();
      wake = () => wakeController.abort();
      const wakeOrStop = AbortSignal.any([signal, wakeController.signal]);
      await clock.sleep(retriesAtOnce ? 20 : pauseMs, wakeOrStop);
      wake = () => undefined;
    }
  };

  return {
    update: (entry) => {
      desiredValue = JSON.stringify(entry);
      if (desiredValue !== storedValue && isStoreReachable) wake();
    },
    createdAt: () => createdRevision,
    run,
  };
};
