import type { Clock } from '../clock/mod.ts';
import type { RefusalError } from '../errors/mod.ts';

/** A small response that is replayed to repeated requests. */
export interface CachedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * Result of a finished first attempt. `kept`: its response can be replayed. `unknown`: it may have
 * run, but its response is not available. `not run`: a repeated request may run.
 */
export type FirstAttemptResult = | { readonly kind: 'kept'; readonly response: CachedResponse }
  | { readonly kind: 'unknown'; readonly reason: string }
  | { readonly kind: 'not run'; readonly refusal: RefusalError };

/** First request with a key; its holder must call `complete` when the request has ended. */
export interface FirstAttempt {
  readonly kind: 'first';
  readonly complete: (result: FirstAttemptResult) => void;
}

/**
 * Result of registering a key. `repeat`: `result` resolves when the first attempt ends. `full`: the
 * table has no room for the key.
 */
export type IdempotencyLookup = | FirstAttempt
  | { readonly kind: 'repeat'; readonly result: Promise<FirstAttemptResult> }
  | { readonly kind: 'full' };

/** First attempts by customer and `Idempotency-Key`. */
export interface IdempotencyTable {
  readonly register: (customer: string, service: string, key: string) => IdempotencyLookup;
  /** Size in bytes up to which the body of a response is cached. */
  readonly maxResponseBytes: number;
  /** Size in bytes of all cached responses. */
  readonly cachedBytes: () => number;
}

/** Options of an idempotency table. */
export interface IdempotencyTableOptions {
  readonly clock: Clock;
  readonly maxEntries?: number;
  readonly maxResponseBytes?: number;
  readonly maxCachedBytes?: number;
  readonly retentionMs?: number;
}

interface StoredAttempt {
  readonly result: Promise<FirstAttemptResult>;
  endedAt: number | undefined;
  responseBytes: number;
  dropResponse: () => void;
}

const MAX_ENTRIES = 50_000;
const MAX_RESPONSE_BYTES = 16_384;
const MAX_CACHED_BYTES = 8 * 1024 * 1024;
const RETENTION_MS = 600_000;

const sizeOf = ({ headers, body }: CachedResponse): number => {
  let bytes = body.length;
  for (const text of headers) bytes += text.length;
  return bytes;
};

/**
 * Creates an empty table. When cached responses exceed `maxCachedBytes`, the oldest are evicted but
 * their keys stay, so a repeated request ends as `unknown` instead of running again. A key leaves
 * the table only after the retention time, or when its first attempt did not run.
 *
 * @param options Clock and limits.
 * @returns The table.
 *
 * @example
 * const entry = createIdempotencyTable({ clock }).register('mesh', 'ledger', 'k1');
 * if (entry.kind === 'first') entry.complete({ kind: 'unknown', reason: 'the connection broke' });
 */
export const createIdempotencyTable = (options: IdempotencyTableOptions): IdempotencyTable => {
  const { clock } = options;
  const maxEntries = options.maxEntries ?? MAX_ENTRIES;
  const maxCachedBytes = options.maxCachedBytes ?? MAX_CACHED_BYTES;
  const maxResponseBytes = options.maxResponseBytes ?? MAX_RESPONSE_BYTES;
  const retentionMs = options.retentionMs ?? RETENTION_MS;
  const attempts = new Map<string, StoredAttempt>();
  /** Attempts with a cached response, oldest first. */
  const cachedAttempts = new Set<StoredAttempt>();
  let cachedBytes = 0;

  const dropResponse = (stored: StoredAttempt) => {
    if (!cachedAttempts.delete(stored)) return;
    cachedBytes -= stored.responseBytes;
    stored.dropResponse();
  };

  const evictExpired = () => {
    const expiryTime = clock.now() - retentionMs;
    for (const [key, stored] of attempts) {
      if (stored.endedAt === undefined) continue;
      // Finished attempts are ordered by their end, so the first unexpired one ends the scan.
      if (stored.endedAt >= expiryTime) return;
      attempts.delete(key);
      dropResponse(stored);
    }
  };

  const add = (key: string): FirstAttempt => {
    let resolveResult: (result: FirstAttemptResult) => void = () => undefined;
    let result = new Promise<FirstAttemptResult>((settle) => {
      resolveResult = settle;
    });
    const stored: StoredAttempt = {
      get result() {
        return result;
      },
      endedAt: undefined,
      responseBytes: 0,
      dropResponse: () => {
        result = Promise.resolve({ kind: 'unknown', reason: 'the answer is no longer kept' });
      },
    };
    attempts.set(key, stored);
    const complete: FirstAttempt['complete'] = (attemptResult) => {
      if (stored.endedAt !== undefined) return;
      stored.endedAt = clock.now();
      resolveResult(attemptResult);
      attempts.delete(key);
      if (attemptResult.kind === 'not run') return;
      attempts.set(key, stored);
      if (attemptResult.kind !== 'kept') return;
      stored.responseBytes = sizeOf(attemptResult.response);
      cachedBytes += stored.responseBytes;
      cachedAttempts.add(stored);
      for (const oldest of cachedAttempts) {
        if (cachedBytes <= maxCachedBytes) break;
        dropResponse(oldest);
      }
    };
    return { kind: 'first', complete };
  };

  return {
    register: (customer, service, idempotencyKey) => {
      evictExpired();
      const key = JSON.stringify([customer, service, idempotencyKey]);
      const stored = attempts.get(key);
      if (stored !== undefined) return { kind: 'repeat', result: stored.result };
      if (attempts.size >= maxEntries) return { kind: 'full' };
      return add(key);
    },
    maxResponseBytes,
    cachedBytes: () => cachedBytes,
  };
};
