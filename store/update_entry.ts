import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { Store, StoreEntry } from './store.ts';

/**
 * Computes the new value from the current entry; `undefined` leaves it as it is. It may run more
 * than once and must be idempotent: when a lost write was overwritten by another writer, it runs
 * again on what that writer left.
 */
export type EntryChange = (current: StoreEntry | undefined, writer: string) => string | undefined;

/** Options of an update. */
export interface UpdateEntryOptions {
  readonly clock: Clock;
  /** Identifier of this update, unique in the fleet; the new value must contain it. */
  readonly writer: string;
  /** Reads the writer identifier of a value; by default the field `writer` of a JSON object. */
  readonly writerOf?: (value: string) => string | undefined;
  /** Most writes and read-backs. */
  readonly maxAttempts?: number;
  /** Longest pause between two attempts in ms; the actual one is random. */
  readonly maxPauseMs?: number;
  /** Random numbers in [0, 1). */
  readonly random?: () => number;
}

const DEFAULT_MAX_ATTEMPTS = 10;
const DEFAULT_MAX_PAUSE_MS = 50;

const writerOfJson = (value: string): string | undefined => {
  try {
    const writer: unknown = JSON.parse(value)?.writer;
    return typeof writer === 'string' ? writer : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Changes one entry by reading, changing and compare-and-swap, again after a conflict. When the
 * reply to a write is lost, the entry is read back: it holds the writer identifier if the write
 * took effect.
 *
 * @param store The store.
 * @param key Key of the entry.
 * @param change Computes the new value.
 * @param options Clock, writer identifier and limits.
 * @returns The entry as written or left unchanged (`undefined`: no entry and no change), or the
 *   last error; its kind is `unknown` when a write may have taken effect.
 *
 * @example
 * await updateEntry(store, 'nodes/r1', addSelf, { clock, writer: 'n1#7/1' });
 */
export const updateEntry = async (
  store: Store,
  key: string,
  change: EntryChange,
  options: UpdateEntryOptions,
): Promise<Result<StoreEntry | undefined, StoreError>> => {
  const {
    clock, writer, writerOf = writerOfJson, random = Math.random,
  } = options;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const maxPauseMs = options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS;
  let unsettled = false;
  let lastError = new StoreError('conflict', `no success in ${maxAttempts} attempts`, {
    step: 'store.updateEntry',
    peer: key,
  });

  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    if (attempt > 0) await clock.sleep(maxPauseMs * random() * Math.min(attempt, 10));
    const read = await store.get(key);
    if (read.isErr()) {
      if (!unsettled) return err(read.error);
      continue;
    }
    const current = read.value;
    if (unsettled && current && writerOf(current.value) === writer) return ok(current);
    const value = change(current, writer);
    if (value === undefined) return ok(current);
    const written = await store.compareAndSwap(key, current?.revision ?? 0, value);
    if (written.isOk()) return ok({ key, revision: written.value, value });
    lastError = written.error;
    if (lastError.kind === 'unknown') unsettled = true;
    else if (lastError.kind !== 'conflict' && !unsettled) return err(lastError);
  }
  if (!unsettled) return err(lastError);
  return err(new StoreError('unknown', 'a write may have taken effect', {
    step: 'store.updateEntry', peer: key, cause: lastError,
  }));
};
