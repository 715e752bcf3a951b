import type { Clock } from '../clock/mod.ts';

/** State of a request in the ledger of its receiver. */
export type LedgerState = 'running' | 'finished' | 'cancelled' | 'refused';

/**
 * Reply to a cancellation. `never seen`: the request was not received and is refused from now on.
 * `forgotten`: the request may have been evicted from the ledger, so it may have run.
 */
export type CancelReply = 'never seen' | 'running' | 'finished' | 'forgotten';

/** Tracks the requests that a node received from peers, by attempt identifier. */
export interface RequestLedger {
  /**
   * Records a received request. `refused`: it was cancelled before it arrived. `repeated`: it was
   * received before.
   */
  readonly begin: (id: string, cancel: () => void) => 'begun' | 'refused' | 'repeated';
  /** Marks a request as finished. */
  readonly finish: (id: string) => void;
  /** Cancels a request that was sent at most `ageMs` ago. */
  readonly cancel: (id: string, ageMs: number) => CancelReply;
  readonly size: () => number;
}

/** Options of a ledger. */
export interface RequestLedgerOptions {
  readonly clock: Clock;
  readonly maxEntries?: number;
  readonly retentionMs?: number;
}

interface LedgerEntry {
  state: LedgerState;
  readonly receivedAt: number;
  cancel: (() => void) | undefined;
}

const MAX_ENTRIES = 100_000;
const RETENTION_MS = 30_000;

/** Covers the transit time of a cancellation, which the age that it carries does not include. */
const CANCEL_TRANSIT_MARGIN_MS = 1500;

/**
 * Creates an empty ledger. Entries are evicted oldest first, by age or when the ledger is full. A
 * request that is older than the newest evicted entry, or than the ledger itself, is reported as
 * `forgotten`.
 *
 * @param options Clock and limits.
 * @returns The ledger.
 *
 * @example
 * const ledger = createRequestLedger({ clock });
 * ledger.begin('r1.1', () => abort.abort());
 */
export const createRequestLedger = (options: RequestLedgerOptions): RequestLedger => {
  const { clock } = options;
  const maxEntries = options.maxEntries ?? MAX_ENTRIES;
  const retentionMs = options.retentionMs ?? RETENTION_MS;
  const entries = new Map<string, LedgerEntry>();
  /** Every request received after this time is in the ledger. */
  let completeAfter = clock.now();

  const evict = () => {
    const expiryTime = clock.now() - retentionMs;
    for (const [id, entry] of entries) {
      if (entry.receivedAt >= expiryTime && entries.size <= maxEntries) return;
      if (entry.state === 'running' && entries.size <= maxEntries) continue;
      entries.delete(id);
      completeAfter = Math.max(completeAfter, entry.receivedAt);
    }
  };

  const add = (id: string, state: LedgerState, cancel: (() => void) | undefined) => {
    entries.set(id, { state, receivedAt: clock.now(), cancel });
    evict();
  };

  return {
    begin: (id, cancel) => {
      const known = entries.get(id);
      if (known?.state === 'refused') return 'refused';
      if (known !== undefined) return 'repeated';
      add(id, 'running', cancel);
      return 'begun';
    },
    finish: (id) => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      if (entry.state === 'running') entry.state = 'finished';
      entry.cancel = undefined;
    },
    cancel: (id, ageMs) => {
      const entry = entries.get(id);
      if (entry === undefined) {
        if (clock.now() - ageMs - CANCEL_TRANSIT_MARGIN_MS < completeAfter) return 'forgotten';
        add(id, 'refused', undefined);
        return 'never seen';
      }
      if (entry.state === 'refused') return 'never seen';
      if (entry.state !== 'running') return 'finished';
      entry.state = 'cancelled';
      entry.cancel?.();
      return 'running';
    },
    size: () => entries.size,
  };
};
