import type { Clock } from '../clock/mod.ts';

/** State of a request at its receiver. */
export type LedgerState = 'running' | 'finished' | 'cancelled' | 'refused';

/**
 * Answer to a cancellation. `never seen`: the identifier is refused from now on. `forgotten`: the
 * request is older than the ledger, so it may have run.
 */
export type CancelReply = 'never seen' | 'running' | 'finished' | 'forgotten';

/** Requests that a node received from peers, by identifier and attempt. */
export interface RequestLedger {
  /**
   * Enters a request; `refused`: it was cancelled before it arrived; `repeated`: it was received
   * before.
   */
  readonly begin: (id: string, cancel: () => void) => 'begun' | 'refused' | 'repeated';
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
  readonly beganAt: number;
  cancel: (() => void) | undefined;
}

const MAX_ENTRIES = 100_000;
const RETENTION_MS = 30_000;

/** Covers the time that a cancellation itself travels, which its stated age leaves out. */
const AGE_MARGIN_MS = 1500;

/**
 * Creates an empty ledger. Entries leave it oldest first, by age or when it is full; what is older
 * than the youngest entry that left, or than the ledger itself, counts as forgotten.
 *
 * @param options Clock and bounds.
 * @returns The ledger.
 *
 * @example
 * const ledger = createRequestLedger({ clock });
 * ledger.begin('r1/1', () => abort.abort());
 */
export const createRequestLedger = (options: RequestLedgerOptions): RequestLedger => {
  const { clock } = options;
  const maxEntries = options.maxEntries ?? MAX_ENTRIES;
  const retentionMs = options.retentionMs ?? RETENTION_MS;
  const entries = new Map<string, LedgerEntry>();
  /** Every request that arrived after this time is in the ledger. */
  let completeSince = clock.now();

  const evict = () => {
    const oldestKeptAt = clock.now() - retentionMs;
    for (const [id, entry] of entries) {
      if (entry.beganAt >= oldestKeptAt && entries.size <= maxEntries) return;
      if (entry.state === 'running' && entries.size <= maxEntries) continue;
      entries.delete(id);
      completeSince = Math.max(completeSince, entry.beganAt);
    }
  };

  const add = (id: string, state: LedgerState, cancel: (() => void) | undefined) => {
    entries.set(id, { state, beganAt: clock.now(), cancel });
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
        if (clock.now() - ageMs - AGE_MARGIN_MS < completeSince) return 'forgotten';
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
