import { once } from 'node:events';
import type { ClockReading } from '../ranges/mod.ts';
import {
  type EntryChanges, eraOfRevision, type LeasedStore, type LongPollOptions, type RemovedEntry,
  type StoreEntry,
} from '../store/mod.ts';
import { createRetainedEntries } from './_retained_entries.ts';
import type { StoreViewOptions } from './store_view_options.ts';

/** A local cache of the entries under a prefix of the store, kept up to date by a watch. */
export interface StoreView {
  readonly get: (key: string) => StoreEntry | undefined;
  readonly entries: () => Iterable<StoreEntry>;
  /** Returns the store revision up to which all changes are applied to the view. */
  readonly revision: () => number;
  /**
   * Returns the revision of the newest change that the view has seen, removals included; 0 before
   * the first one. After a full read, this is the revision of the read, since the removal of a key
   * that is absent may be as recent.
   */
  readonly changedRevision: () => number;
  /** Returns whether all entries have been read at least once. */
  readonly isLoaded: () => boolean;
  /** Returns whether the last read from the store or the watch source succeeded. */
  readonly isConnected: () => boolean;
  /** Adds a listener that is called after each change of the view. */
  readonly onChange: (listener: (change: ViewChange) => void) => void;
  /**
   * Adds a listener that is called after each call to the store, or to a peer that follows it, that
   * has brought the view up to a moment after the call was sent, with the time of sending.
   */
  readonly onCurrent: (listener: (sent: ClockReading) => void) => void;
  /**
   * Returns a check whether the view has been brought up to date since by a call that was sent
   * after this moment. It compares the order of events in this process, not times.
   */
  readonly startCurrencyCheck: () => () => boolean;
  /** Applies an entry that this node has just written, if it is newer than the known one. */
  readonly apply: (entry: StoreEntry) => void;
  /** Applies all changes up to now; resolves to false when the store call fails. */
  readonly refresh: () => Promise<boolean>;
  /** Reads all entries and then watches the store until `signal` aborts. */
  readonly follow: (signal: AbortSignal) => Promise<void>;
  /** Gives up the watch in progress and sends a new one, as its wait may have become too long. */
  readonly restartWatch: () => void;
}

/** A change of a store view. */
export interface ViewChange {
  readonly keys: readonly string[];
  /** True after a full reload, before which intermediate changes may have been missed. */
  readonly mayMissChanges: boolean;
}

/**
 * The platform charges for a watch when it returns, so longer waits cost less. A connection that
 * stopped responding is detected only after this time, unless another one does so first.
 */
const DEFAULT_WAIT_MS = 8000;
const DEFAULT_PAUSE_MS = 100;
const MAX_LOGGED_KEYS = 8;
/** Bounds in ms of the backoff while calls to the store fail. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 700;

/**
 * Creates an empty store view.
 *
 * @param options The clock, the store, the key prefix and the logger.
 * @returns The view, which is kept up to date while `follow` runs.
 *
 * @example
 * const view = createStoreView({ clock, store, prefix: 'marjoramhollow/', logger });
 * void view.follow(signal);
 */
export const createStoreView = (options: StoreViewOptions): StoreView => {
  const { clock, store, prefix } = options;
  const watch = options.watch ?? store.watch;
  const waitMs = options.waitMs ?? (() => DEFAULT_WAIT_MS);
  const pauseMs = options.pauseMs ?? (() => DEFAULT_PAUSE_MS);
  const random = options.random ?? Math.random;
  const margin = options.marginMs === undefined ? {} : { marginMs: options.marginMs };
  const logger = options.logger.forComponent('store view');
  const entries = new Map<string, StoreEntry>();
  const listeners: ((change: ViewChange) => void)[] = [];
  /** Revision at which each key was removed, so that a delayed write cannot restore the entry. */
  const removalRevisions = new Map<string, number>();
  const retained = createRetainedEntries(clock, options.retainMs ?? 0);
  let loaded = false;
  let connected = false;
  let viewRevision = 0;
  let changedRevision = 0;
  const currentListeners: ((sent: ClockReading) => void)[] = [];
  /** Number of calls sent so far, and the last one sent of those that made the view current. */
  let sentCalls = 0;
  let abortWatch: () => void = () => undefined;
  let currentCall = 0;

  const notify = (keys: readonly string[], mayMissChanges: boolean) => {
    for (const listener of listeners) {
      try {
        listener({ keys, mayMissChanges });
      } catch (error) {
        // A change that one part cannot handle must not end the view for all others.
        logger.error(
          { prefix, keys: keys.slice(0, MAX_LOGGED_KEYS), reason: String(error) }, (
            'failed to handle a change'
          ),
        );
      }
    }
  };

  const limitValue = <T extends StoreEntry | RemovedEntry>(entry: T): T => {
    if (!('value' in entry)) return entry;
    const maxLength = options.maxValueLength?.(entry.key) ?? Infinity;
    if (entry.value.length <= maxLength) return entry;
    logger.warn({
      key: entry.key, revision: entry.revision, length: entry.value.length,
    }, 'discarded a value that is too long');
    return { ...entry, value: '' };
  };

  const putIfNewer = (entry: StoreEntry): boolean => {
    const known = Math.max(
      entries.get(entry.key)?.revision ?? 0,
      removalRevisions.get(entry.key) ?? 0,
    );
    if (entry.revision <= known) return false;
    entries.set(entry.key, entry);
    return true;
  };

  const removeIfNotNewer = (key: string, revision: number): boolean => {
    removalRevisions.set(key, Math.max(revision, removalRevisions.get(key) ?? 0));
    const known = entries.get(key);
    if (known === undefined || known.revision > revision) return false;
    return entries.delete(key);
  };

  /** Keeps an entry for a while, unless it changes meanwhile. */
  const retain = (key: string): boolean => {
    const revision = entries.get(key)?.revision;
    const isKept = retained.keep(key, () => {
      if (entries.get(key)?.revision === revision && entries.delete(key)) notify([key], false);
    });
    if (isKept) logger.warn({ key, revision }, 'keeping an entry that the restored store lacks');
    return isKept;
  };

  const load = async (): Promise<boolean> => {
    const listed = await store.list(prefix);
    if (listed.isErr()) return false;
    const changed = new Set<string>();
    const present = new Set(listed.value.entries.map(({ key }) => key));
    for (const entry of listed.value.entries) {
      if (putIfNewer(limitValue(entry))) changed.add(entry.key);
    }
    const isRestored = loaded && eraOfRevision(viewRevision) < eraOfRevision(listed.value.at);
    for (const key of entries.keys()) {
      if (present.has(key) || (isRestored && retain(key)) || retained.has(key)) continue;
      if (removeIfNotNewer(key, listed.value.at)) changed.add(key);
    }
    viewRevision = listed.value.at;
    changedRevision = Math.max(changedRevision, viewRevision);
    loaded = true;
    options.history?.reset(viewRevision);
    logger.info({ prefix, revision: viewRevision, entries: entries.size }, 'loaded all entries');
    notify([...changed], true);
    return true;
  };

  const applyEvents = (events: EntryChanges['events']) => {
    const changed: string[] = [];
    for (const event of events) {
      changedRevision = Math.max(changedRevision, event.revision);
      const isApplied = 'removed' in event
        ? removeIfNotNewer(event.key, event.revision)
        : putIfNewer(event);
      if (isApplied) changed.push(event.key);
    }
    return changed;
  };

  const applyChanges = ({ events, at }: EntryChanges) => {
    const changes: EntryChanges = { events: events.map(limitValue), at };
    const keys = applyEvents(changes.events);
    viewRevision = Math.max(viewRevision, changes.at);
    options.history?.add(changes);
    if (keys.length > 0) notify(keys, false);
  };

  /** Makes a call for changes and applies them. */
  const applyChangesOf = async (call: LeasedStore['watch'], wait: LongPollOptions) => {
    sentCalls += 1;
    const number = sentCalls;
    const sent = { at: clock.now(), wallAt: clock.wallTime() };
    const changes = await call(prefix, viewRevision, wait);
    if (changes.isErr() || wait.signal?.aborted) return changes;
    applyChanges(changes.value);
    if (changes.value.isCurrent === true) {
      currentCall = Math.max(currentCall, number);
      for (const listener of currentListeners) listener(sent);
    }
    return changes;
  };

  const setConnected = (value: boolean, reason: string) => {
    if (connected === value) return;
    connected = value;
    if (value) logger.info({ prefix, revision: viewRevision }, 'the store is reachable');
    else logger.warn({ prefix, revision: viewRevision, reason }, 'the store is unreachable');
  };

  const follow = async (signal: AbortSignal) => {
    let retryMs = MIN_RETRY_MS;
    let needsReload = true;
    while (!signal.aborted) {
      let hasWaited = false;
      needsReload ||= eraOfRevision(viewRevision) < (options.era?.() ?? 0);
      if (needsReload) {
        needsReload = !await load();
        setConnected(!needsReload, 'listing the entries failed');
      } else {
        const restart = new AbortController();
        abortWatch = () => restart.abort();
        const changes = await Promise.race([
          applyChangesOf(watch, {
            waitMs: waitMs(), signal: AbortSignal.any([signal, restart.signal]), ...margin,
          }),
          once(restart.signal, 'abort').then(() => undefined),
        ]);
        abortWatch = () => undefined;
        if (signal.aborted) return;
        const error = changes?.isErr() ? changes.error : undefined;
        if (changes?.isOk()) {
          setConnected(true, '');
        } else if (error !== undefined && !error.isGivenUp) {
          // The store keeps its history during an outage, so the next watch misses no changes.
          needsReload = error.kind === 'compacted';
          // A timeout is pause enough, and the changes that it has held up are due. A store that
          // has compacted its history can be reached.
          hasWaited = error.isTimeout || needsReload;
          if (!needsReload) setConnected(false, error.message);
        }
      }
      retryMs = connected ? MIN_RETRY_MS : Math.min(MAX_RETRY_MS, retryMs * 1.5);
      const backoffMs = retryMs * (0.5 + random());
      await clock.sleep(connected || hasWaited ? pauseMs() : backoffMs, signal);
    }
  };

  return {
    get: (key) => entries.get(key),
    entries: () => entries.values(),
    revision: () => viewRevision,
    changedRevision: () => changedRevision,
    isLoaded: () => loaded,
    isConnected: () => connected,
    onChange: (listener) => {
      listeners.push(listener);
    },
    apply: (entry) => {
      if (putIfNewer(entry)) notify([entry.key], false);
    },
    onCurrent: (listener) => {
      currentListeners.push(listener);
    },
    restartWatch: () => abortWatch(),
    startCurrencyCheck: () => {
      const sentBefore = sentCalls;
      return () => currentCall > sentBefore;
    },
    refresh: async () => (
      (await applyChangesOf(store.watch, { waitMs: 0, ...margin })).isOk()
    ),
    follow,
  };
};
