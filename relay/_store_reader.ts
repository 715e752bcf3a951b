import type { Clock } from '../clock/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Reads the relayed prefixes from the store. */
export interface StoreReader {
  /** Starts or stops holding a watch on the prefix. */
  readonly hold: (prefix: string, isHeld: boolean) => void;
  /** Reads once what changed since the last reading, unless a watch is held. */
  readonly poll: (prefix: string) => Promise<void>;
  readonly stop: () => void;
}

/** What the reader needs. */
export interface StoreReaderOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly logger: Logger;
  readonly random: () => number;
  readonly accept: (entry: StoreEntry) => void;
}

const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5000;
// A poll is a watch that is given up when it has nothing to report.
const POLL_WAIT_MS = 1000;

export const createStoreReader = (options: StoreReaderOptions): StoreReader => {
  const {
    clock, store, logger, random, accept,
  } = options;
  const stopping = new AbortController();
  const held = new Map<string, AbortController>();
  /** Highest revision up to which this node has read everything under the prefix. */
  const cursors = new Map<string, number>();

  const read = async (prefix: string, signal: AbortSignal): Promise<boolean> => {
    const cursor = cursors.get(prefix);
    const outcome = cursor === undefined
      ? await store.list(prefix)
      : await store.watch(prefix, cursor, { signal });
    if (outcome.isErr()) {
      const { step, peer, message } = outcome.error;
      if (!signal.aborted) logger.debug({ step, peer, prefix }, `cannot read: ${message}`);
      return false;
    }
    let highest = cursors.get(prefix) ?? 0;
    for (const entry of outcome.value) {
      accept(entry);
      highest = Math.max(highest, entry.revision);
    }
    cursors.set(prefix, highest);
    return true;
  };

  const holdWatch = async (prefix: string, signal: AbortSignal) => {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      if (await read(prefix, signal)) backoffMs = INITIAL_BACKOFF_MS;
      else {
        await clock.sleep(backoffMs * (0.5 + random() / 2), signal);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      }
    }
  };

  return {
    hold: (prefix, isHeld) => {
      const current = held.get(prefix);
      if (stopping.signal.aborted || isHeld === (current !== undefined)) return;
      if (current) {
        held.delete(prefix);
        current.abort();
        return;
      }
      const abort = new AbortController();
      held.set(prefix, abort);
      logger.info({ prefix }, 'this node holds a store watch');
      holdWatch(prefix, abort.signal);
    },
    poll: async (prefix) => {
      if (held.has(prefix)) return;
      const abort = new AbortController();
      const cancel = clock.schedule(POLL_WAIT_MS, () => abort.abort());
      await read(prefix, abort.signal);
      cancel();
    },
    stop: () => {
      stopping.abort();
      for (const abort of held.values()) abort.abort();
      held.clear();
    },
  };
};
