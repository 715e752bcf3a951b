import type { Clock } from '../clock/mod.ts';
import type { EntryChanges, LeasedStore, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { ViewHistory } from './view_history.ts';

/** The newest known entries under a prefix of the store. */
export interface StoreView {
  readonly get: (key: string) => StoreEntry | undefined;
  readonly entries: () => Iterable<StoreEntry>;
  /** Revision of the store up to which all changes are in the view. */
  readonly revision: () => number;
  /** The view has been read at least once. */
  readonly isLoaded: () => boolean;
  /** The last call to the store succeeded. */
  readonly isConnected: () => boolean;
  /** Calls back after each change; `gap`: changes in between may have been missed. */
  readonly onChange: (listener: (change: ViewChange) => void) => void;
  /** Takes over a newer entry that this node has just written. */
  readonly apply: (entry: StoreEntry) => void;
  /** Takes over all changes up to now; false when the store does not tell them. */
  readonly refresh: () => Promise<boolean>;
  /** Follows the store until `signal` aborts. */
  readonly follow: (signal: AbortSignal) => Promise<void>;
}

/** What a change of the view covers. */
export interface ViewChange {
  readonly keys: readonly string[];
  readonly gap: boolean;
}

/** Options of a view. */
export interface StoreViewOptions {
  readonly clock: Clock;
  readonly store: LeasedStore;
  readonly prefix: string;
  readonly logger: Logger;
  /** Watch in place of the store's own, for example that of a peer. */
  readonly watch?: LeasedStore['changes'];
  /** Told of all changes, for peers that follow this view. */
  readonly history?: ViewHistory;
  /** Longest time in ms that the store holds a watch. */
  readonly waitMs?: number;
  /** Pause in ms after a change, so that a burst of changes costs one call. */
  readonly pauseMs?: number;
}

/**
 * A watch is priced when it returns, and a connection that went silent is found after this time.
 */
const DEFAULT_WAIT_MS = 8000;
const DEFAULT_PAUSE_MS = 100;
/** Pauses in ms between attempts while the store fails. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 700;

/**
 * Creates an empty view.
 *
 * @param options Clock, store, prefix and logger.
 * @returns The view; it changes while `follow` runs.
 *
 * @example
 * const view = createStoreView({ clock, store, prefix: 'marjoramhollow/', logger });
 * void view.follow(signal);
 */
export const createStoreView = (options: StoreViewOptions): StoreView => {
  const { clock, store, prefix } = options;
  const watch = options.watch ?? store.changes;
  const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
  const pauseMs = options.pauseMs ?? DEFAULT_PAUSE_MS;
  const logger = options.logger.forPart('store view');
  const entries = new Map<string, StoreEntry>();
  const listeners: ((change: ViewChange) => void)[] = [];
  /** Highest revision of each removed key, so that a late write cannot bring an entry back. */
  const removedAt = new Map<string, number>();
  let loaded = false;
  let connected = false;
  let at = 0;

  const notify = (keys: readonly string[], gap: boolean) => {
    for (const listener of listeners) listener({ keys, gap });
  };

  const put = (entry: StoreEntry): boolean => {
    const known = Math.max(
      entries.get(entry.key)?.revision ?? 0,
      removedAt.get(entry.key) ?? 0,
    );
    if (entry.revision <= known) return false;
    entries.set(entry.key, entry);
    return true;
  };

  const remove = (key: string, revision: number): boolean => {
    removedAt.set(key, Math.max(revision, removedAt.get(key) ?? 0));
    const known = entries.get(key);
    if (known === undefined || known.revision > revision) return false;
    return entries.delete(key);
  };

  const load = async (): Promise<boolean> => {
    const listed = await store.list(prefix);
    if (listed.isErr()) return false;
    const changed = new Set<string>();
    const present = new Set(listed.value.entries.map(({ key }) => key));
    for (const entry of listed.value.entries) if (put(entry)) changed.add(entry.key);
    for (const key of entries.keys()) {
      if (!present.has(key) && remove(key, listed.value.at)) changed.add(key);
    }
    at = listed.value.at;
    loaded = true;
    options.history?.reset(at);
    logger.info({ prefix, revision: at, entries: entries.size }, 'read all entries');
    notify([...changed], true);
    return true;
  };

  const applyEvents = (events: EntryChanges['events']) => {
    const changed: string[] = [];
    for (const event of events) {
      const isNew = 'removed' in event ? remove(event.key, event.revision) : put(event);
      if (isNew) changed.push(event.key);
    }
    return changed;
  };

  const takeOver = (changes: EntryChanges) => {
    const keys = applyEvents(changes.events);
    at = Math.max(at, changes.at);
    options.history?.add(changes);
    if (keys.length > 0) notify(keys, false);
  };

  const setConnected = (value: boolean, reason: string) => {
    if (connected === value) return;
    connected = value;
    if (value) logger.info({ prefix, revision: at }, 'the store answers');
    else logger.warn({ prefix, revision: at, reason }, 'the store does not answer');
  };

  const follow = async (signal: AbortSignal) => {
    let retryMs = MIN_RETRY_MS;
    let stale = true;
    while (!signal.aborted) {
      if (stale) {
        stale = !await load();
        setConnected(!stale, 'the entries cannot be read');
      } else {
        const changes = await watch(prefix, at, { waitMs, signal });
        if (signal.aborted) return;
        if (changes.isOk()) {
          takeOver(changes.value);
          setConnected(true, '');
        } else {
          // The store keeps its history over an outage, so the next watch misses nothing.
          stale = changes.error.kind === 'compacted';
          if (!stale) setConnected(false, changes.error.message);
        }
      }
      retryMs = connected ? MIN_RETRY_MS : Math.min(MAX_RETRY_MS, retryMs * 1.5);
      await clock.sleep(connected ? pauseMs : retryMs * (0.5 + Math.random()), signal);
    }
  };

  return {
    get: (key) => entries.get(key),
    entries: () => entries.values(),
    revision: () => at,
    isLoaded: () => loaded,
    isConnected: () => connected,
    onChange: (listener) => {
      listeners.push(listener);
    },
    apply: (entry) => {
      if (put(entry)) notify([entry.key], false);
    },
    refresh: async () => {
      const changes = await store.changes(prefix, at, { waitMs: 0 });
      if (changes.isOk()) takeOver(changes.value);
      return changes.isOk();
    },
    follow,
  };
};
