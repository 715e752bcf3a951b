import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { Store, StoreEntry } from './store.ts';

/**
 * Computes the new value of an entry; `undefined` leaves the entry unchanged. It may run more than
 * once and must be idempotent: when another writer overwrote a write whose reply was lost, it runs
 * again on that writer's value.
 */
export type EntryChange = (current: StoreEntry | undefined, writer: string) => string | undefined;

/** Options for `updateEntry`. */
export interface UpdateEntryOptions {
  readonly clock: Clock;
  /** Identifier of this update, unique in the fleet. The new value must contain it. */
  readonly writer: string;
  /** Reads the writer identifier from a value; by default, the `writer` field of a JSON object. */
  readonly writerOf?: (value: string) => string | undefined;
  /** Maximum number of attempts, each a read and usually a write. */
  readonly maxAttempts?: number;
  /** Maximum delay in ms of the first retry; it grows linearly up to tenfold, with full jitter. */
  readonly maxRetryDelayMs?: number;
  /** Returns random numbers in [0, 1). */
  readonly random?: () => number;
}

const DEFAULT_MAX_ATTEMPTS = 10;
const DEFAULT_MAX_RETRY_DELAY_MS = 50;

const writerOfJson = (value: string): string | undefined => {
  try {
    const writer: unknown = JSON.parse(value)?.writer;
    return typeof writer === 'string' ? writer : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Updates one entry by a read and a compare-and-swap, and retries after a conflict. When the reply
 * to a write is lost, the entry is read again: it contains the writer identifier if the write took
 * effect.
 *
 * @param store The store.
 * @param key The key of the entry.
 * @param change Computes the new value.
 * @param options The clock, the writer identifier and retry limits.
 * @returns The entry as written or left unchanged (`undefined` if there is none), or the last
 *   error, whose kind is `unknown` if a write may have taken effect.
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
  const maxRetryDelayMs = options.maxRetryDelayMs ?? DEFAULT_MAX_RETRY_DELAY_MS;
  let hasUnknownWrite = false;
  let lastError = new StoreError('conflict', `no success in ${maxAttempts} attempts`, {
    step: 'store.updateEntry',
    peer: key,
  });

  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    if (attempt > 0) await clock.sleep(maxRetryDelayMs * random() * Math.min(attempt, 10));
    const read = await store.get(key);
    if (read.isErr()) {
      if (!hasUnknownWrite) return err(read.error);
      continue;
    }
    const current = read.value;
    if (hasUnknownWrite && current && writerOf(current.value) === writer) return ok(current);
    const value = change(current, writer);
    if (value === undefined) return ok(current);
    const written = await store.compareAndSwap(key, current?.revision ?? 0, value);
    if (written.isOk()) return ok({ key, revision: written.value, value });
    lastError = written.error;
    if (lastError.kind === 'unknown') hasUnknownWrite = true;
    else if (lastError.kind !== 'conflict' && !hasUnknownWrite) return err(lastError);
  }
  if (!hasUnknownWrite) return err(lastError);
  return err(new StoreError('unknown', 'a write may have taken effect', {
    step: 'store.updateEntry', peer: key, cause: lastError,
  }));
};
