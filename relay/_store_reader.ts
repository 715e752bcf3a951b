import type { Clock } from '../clock/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Reads the relayed prefixes from the store, by watches and polls. */
export interface StoreReader {
  /** Starts or stops a continuous watch of a prefix. */
  readonly setWatching: (prefix: string, isWatching: boolean) => void;
  /** Reads the changes since the last read once, unless the prefix is being watched. */
  readonly poll: (prefix: string) => Promise<void>;
  readonly stop: () => void;
}

/** Options for `createStoreReader`. */
export interface StoreReaderOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly logger: Logger;
  readonly random: () => number;
  /** Called with each entry that was read. */
  readonly accept: (entry: StoreEntry) => void;
}

const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5000;
// A poll is a watch that is aborted after this time if nothing changes.
const POLL_WAIT_MS = 1000;

/** Creates a reader that watches no prefix yet. */
export const createStoreReader = (options: StoreReaderOptions): StoreReader => {
  const {
    clock, store, logger, random, accept,
  } = options;
  const stopping = new AbortController();
  const watches = new Map<string, AbortController>();
  /** Per prefix, the revision up to which this node has read all changes. */
  const cursors = new Map<string, number>();

  const readChanges = async (prefix: string, signal: AbortSignal): Promise<boolean> => {
    const cursor = cursors.get(prefix);
    const outcome = cursor === undefined
      ? await store.list(prefix)
      : await store.watch(prefix, cursor, { signal });
    if (outcome.isErr()) {
      const { step, peer, message } = outcome.error;
      if (!signal.aborted) logger.debug({ step, peer, prefix }, `store read failed: ${message}`);
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

  const runWatch = async (prefix: string, signal: AbortSignal) => {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      if (await readChanges(prefix, signal)) backoffMs = INITIAL_BACKOFF_MS;
      else {
        await clock.sleep(backoffMs * (0.5 + random() / 2), signal);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      }
    }
  };

  return {
    setWatching: (prefix, isWatching) => {
      const current = watches.get(prefix);
      if (stopping.signal.aborted || isWatching === (current !== undefined)) return;
      if (current) {
        watches.delete(prefix);
        current.abort();
        return;
      }
      const abort = new AbortController();
      watches.set(prefix, abort);
      logger.info({ prefix }, 'started a store watch');
      runWatch(prefix, abort.signal);
    },
    poll: async (prefix) => {
      if (watches.has(prefix)) return;
      const abort = new AbortController();
      const cancel = clock.schedule(POLL_WAIT_MS, () => abort.abort());
      await readChanges(prefix, abort.signal);
      cancel();
    },
    stop: () => {
      stopping.abort();
      for (const abort of watches.values()) abort.abort();
      watches.clear();
    },
  };
};
