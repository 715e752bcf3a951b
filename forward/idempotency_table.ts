import type { Clock } from '../clock/mod.ts';
import type { RefusalError } from '../errors/mod.ts';

/** A small answer that is kept for repeats. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * What is known of a first attempt that has ended. `unknown`: it may have run, but there is no
 * answer to give. `not run`: a repeat may run.
 */
export type FirstAttemptEnd = | { readonly kind: 'kept'; readonly answer: KeptAnswer }
  | { readonly kind: 'unknown'; readonly reason: string }
  | { readonly kind: 'not run'; readonly refusal: RefusalError };

/** The right and the duty to report how the first attempt ended. */
export interface FirstAttempt {
  readonly kind: 'first';
  readonly settle: (end: FirstAttemptEnd) => void;
}

/** A repeat; the end of the first attempt follows. `full`: the table has no room for the key. */
export type IdempotencyEntry = | FirstAttempt
  | { readonly kind: 'repeat'; readonly end: Promise<FirstAttemptEnd> }
  | { readonly kind: 'full' };

/** First attempts by customer and `Idempotency-Key`. */
export interface IdempotencyTable {
  readonly enter: (customer: string, service: string, key: string) => IdempotencyEntry;
  /** Largest answer in bytes that is kept. */
  readonly maxAnswerBytes: number;
  readonly keptBytes: () => number;
}

/** Options of an idempotency table. */
export interface IdempotencyTableOptions {
  readonly clock: Clock;
  readonly maxEntries?: number;
  readonly maxAnswerBytes?: number;
  readonly maxKeptBytes?: number;
  readonly retentionMs?: number;
}

interface StoredAttempt {
  readonly end: Promise<FirstAttemptEnd>;
  endedAt: number | undefined;
  bytes: number;
  drop: () => void;
}

const MAX_ENTRIES = 50_000;
const MAX_ANSWER_BYTES = 16_384;
const MAX_KEPT_BYTES = 8 * 1024 * 1024;
const RETENTION_MS = 600_000;

const answerBytes = ({ headers, body }: KeptAnswer): number => {
  let bytes = body.length;
  for (const text of headers) bytes += text.length;
  return bytes;
};

/**
 * Creates an empty table. When answers exceed `maxKeptBytes`, the oldest are dropped but their
 * keys stay, and a repeat is answered `unknown`. A key leaves the table only after the retention.
 *
 * @param options Clock and bounds.
 * @returns The table.
 *
 * @example
 * const entry = createIdempotencyTable({ clock }).enter('mesh', 'ledger', 'k1');
 * if (entry.kind === 'first') entry.settle({ kind: 'unknown', reason: 'the connection broke' });
 */
export const createIdempotencyTable = (options: IdempotencyTableOptions): IdempotencyTable => {
  const { clock } = options;
  const maxEntries = options.maxEntries ?? MAX_ENTRIES;
  const maxKeptBytes = options.maxKeptBytes ?? MAX_KEPT_BYTES;
  const maxAnswerBytes = options.maxAnswerBytes ?? MAX_ANSWER_BYTES;
  const retentionMs = options.retentionMs ?? RETENTION_MS;
  const attempts = new Map<string, StoredAttempt>();
  /** Attempts that hold an answer, in order of their end. */
  const holders = new Set<StoredAttempt>();
  let keptBytes = 0;

  const releaseBytes = (stored: StoredAttempt) => {
    if (!holders.delete(stored)) return;
    keptBytes -= stored.bytes;
    stored.drop();
  };

  const evictExpired = () => {
    const oldestKeptAt = clock.now() - retentionMs;
    for (const [key, stored] of attempts) {
      if (stored.endedAt === undefined) continue;
      // Keys are in order of their last end, so the first young one ends the scan.
      if (stored.endedAt >= oldestKeptAt) return;
      attempts.delete(key);
      releaseBytes(stored);
    }
  };

  const add = (key: string): FirstAttempt => {
    let resolve: (end: FirstAttemptEnd) => void = () => undefined;
    let end = new Promise<FirstAttemptEnd>((settle) => {
      resolve = settle;
    });
    const stored: StoredAttempt = {
      get end() {
        return end;
      },
      endedAt: undefined,
      bytes: 0,
      drop: () => {
        end = Promise.resolve({ kind: 'unknown', reason: 'the answer is no longer kept' });
      },
    };
    attempts.set(key, stored);
    const settle: FirstAttempt['settle'] = (outcome) => {
      if (stored.endedAt !== undefined) return;
      stored.endedAt = clock.now();
      resolve(outcome);
      attempts.delete(key);
      if (outcome.kind === 'not run') return;
      attempts.set(key, stored);
      if (outcome.kind !== 'kept') return;
      stored.bytes = answerBytes(outcome.answer);
      keptBytes += stored.bytes;
      holders.add(stored);
      for (const oldest of holders) {
        if (keptBytes <= maxKeptBytes) break;
        releaseBytes(oldest);
      }
    };
    return { kind: 'first', settle };
  };

  return {
    enter: (customer, service, idempotencyKey) => {
      evictExpired();
      const key = JSON.stringify([customer, service, idempotencyKey]);
      const stored = attempts.get(key);
      if (stored !== undefined) return { kind: 'repeat', end: stored.end };
      if (attempts.size >= maxEntries) return { kind: 'full' };
      return add(key);
    },
    maxAnswerBytes,
    keptBytes: () => keptBytes,
  };
};
