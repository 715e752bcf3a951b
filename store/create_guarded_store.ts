import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { Store } from './store.ts';

/** Options of a guarded store. */
export interface GuardedStoreOptions {
  readonly clock: Clock;
  /** Longest duration of a call, the wait for the budget included, in ms. */
  readonly deadlineMs?: number;
  /** Rate at which the budget refills; a function is asked at each call. */
  readonly callsPerSecond?: number | (() => number);
  /** Most calls that may follow each other at once. */
  readonly burst?: number;
  readonly initialBackoffMs?: number;
  readonly maxBackoffMs?: number;
  /** Random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Calls so far; `refused` calls were not sent. */
export interface GuardedStoreCounters {
  readonly sent: number;
  readonly refused: number;
  readonly failed: number;
}

/** A store whose calls have a deadline, a rate budget and a backoff. */
export interface GuardedStore extends Store {
  readonly counters: () => GuardedStoreCounters;
  /** While urgent, a store that answers again is found soon, within the rate budget. */
  readonly setUrgent: (urgent: boolean) => void;
}

type Outcome<T> = Result<T, StoreError>;

const DEFAULT_DEADLINE_MS = 2000;
/** Part of the store's 2,000 reads a second that the nodes of a small fleet share. */
const FLEET_CALLS_PER_SECOND = 1000;
// 2,000 reads a second over 510 nodes leave each node 4 calls a second.
const MIN_CALLS_PER_SECOND = 4;
const MAX_CALLS_PER_SECOND = 50;
const DEFAULT_BURST = 20;
const DEFAULT_INITIAL_BACKOFF_MS = 100;
const DEFAULT_MAX_BACKOFF_MS = 10_000;
/** A leaving owner gets no new work 2 s after the store answers; its moves take over a second. */
const URGENT_MAX_BACKOFF_MS = 400;
const MAX_WAITING_CALLS = 256;

/**
 * Returns the call budget of one node, which shrinks as the fleet grows.
 *
 * @param nodes Number of nodes that share the store.
 * @returns Calls a second.
 *
 * @example
 * createGuardedStore(store, { clock, callsPerSecond: () => callBudget(members().length) });
 */
export const callBudget = (nodes: number): number => Math.min(
  MAX_CALLS_PER_SECOND,
  Math.max(MIN_CALLS_PER_SECOND, FLEET_CALLS_PER_SECOND / nodes),
);

/**
 * Wraps a store with a deadline for each call, a token bucket, and a jittered exponential backoff
 * after failed calls. A call that cannot start before its deadline fails with `unavailable` and is
 * not sent. A waiting watch counts as one call and has no deadline.
 *
 * @param store The store to call.
 * @param options Clock, limits in ms and calls per second.
 * @returns The guarded store.
 *
 * @example
 * const store = createGuardedStore(httpStore, { clock, callsPerSecond: 4 });
 */
export const createGuardedStore = (store: Store, options: GuardedStoreOptions): GuardedStore => {
  const { clock, random = Math.random } = options;
  const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
  const rate = options.callsPerSecond ?? MIN_CALLS_PER_SECOND;
  const tokensPerMs = () => (typeof rate === 'number' ? rate : rate()) / 1000;
  const burst = options.burst ?? DEFAULT_BURST;
  const initialBackoffMs = options.initialBackoffMs ?? DEFAULT_INITIAL_BACKOFF_MS;
  const maxBackoffMs = options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS;
  let tokens = burst;
  let refilledAtMs = clock.now();
  let backoffMs = 0;
  let failedAtMs = -Infinity;
  let blockedUntilMs = -Infinity;
  let waitingCalls = 0;
  let isUrgent = false;
  let counters: GuardedStoreCounters = { sent: 0, refused: 0, failed: 0 };

  const refuse = (step: string, reason: string) => {
    counters = { ...counters, refused: counters.refused + 1 };
    return err(new StoreError('unavailable', reason, { step, peer: 'store' }));
  };

  const waitMsForStart = (): number => {
    const nowMs = clock.now();
    tokens = Math.min(burst, tokens + (nowMs - refilledAtMs) * tokensPerMs());
    refilledAtMs = nowMs;
    if (nowMs < blockedUntilMs) return blockedUntilMs - nowMs;
    // A rounding error in the refill must not cost another sleep of almost no duration.
    if (tokens >= 1 - 1e-6) return 0;
    return (1 - tokens) / tokensPerMs();
  };

  const acquire = async (
    step: string,
    untilMs: number,
    signal?: AbortSignal,
  ): Promise<Outcome<void>> => {
    let waitMs = waitMsForStart();
    if (waitMs > 0 && waitingCalls >= MAX_WAITING_CALLS) {
      return refuse(step, `${waitingCalls} calls are waiting`);
    }
    waitingCalls += 1;
    while (waitMs > 0 && !signal?.aborted && clock.now() + waitMs <= untilMs) {
      await clock.sleep(waitMs, signal);
      waitMs = waitMsForStart();
    }
    waitingCalls -= 1;
    if (signal?.aborted) return ok(undefined);
    if (waitMs > 0) {
      const cause = clock.now() < blockedUntilMs ? 'backoff after failures' : 'rate budget';
      return refuse(step, `${cause} leaves no time for the call`);
    }
    tokens -= 1;
    counters = { ...counters, sent: counters.sent + 1 };
    return ok(undefined);
  };

  const note = (startedAtMs: number, outcome: Outcome<unknown>) => {
    if (outcome.isOk() || ['conflict', 'too-large'].includes(outcome.error.kind)) {
      if (startedAtMs >= failedAtMs) backoffMs = 0;
      return;
    }
    counters = { ...counters, failed: counters.failed + 1 };
    // Calls that were in flight together count as one failure.
    if (startedAtMs < failedAtMs) return;
    failedAtMs = clock.now();
    const limitMs = isUrgent ? Math.min(URGENT_MAX_BACKOFF_MS, maxBackoffMs) : maxBackoffMs;
    backoffMs = Math.min(limitMs, Math.max(initialBackoffMs, backoffMs * 2));
    blockedUntilMs = failedAtMs + backoffMs * (0.5 + random() / 2);
  };

  const perform = async <T>(
    step: string,
    kindAtDeadline: 'unavailable' | 'unknown',
    call: () => Promise<Outcome<T>>,
  ): Promise<Outcome<T>> => {
    const untilMs = clock.now() + deadlineMs;
    const acquired = await acquire(step, untilMs);
    if (acquired.isErr()) return err(acquired.error);
    const startedAtMs = clock.now();
    const outcome = await new Promise<Outcome<T>>((resolve) => {
      const cancel = clock.schedule(untilMs - startedAtMs, () => {
        const reason = `no response within ${deadlineMs} ms`;
        resolve(err(new StoreError(kindAtDeadline, reason, { step, peer: 'store' })));
      });
      call().then((result) => {
        cancel();
        resolve(result);
      });
    });
    note(startedAtMs, outcome);
    return outcome;
  };

  const watch: Store['watch'] = async (prefix, afterRevision, watchOptions = {}) => {
    const acquired = await acquire('store.watch', Infinity, watchOptions.signal);
    if (acquired.isErr()) return err(acquired.error);
    if (watchOptions.signal?.aborted) return ok([]);
    const startedAtMs = clock.now();
    const outcome = await store.watch(prefix, afterRevision, watchOptions);
    note(startedAtMs, outcome);
    return outcome;
  };

  return {
    get: (key) => perform('store.get', 'unavailable', () => store.get(key)),
    list: (prefix) => perform('store.list', 'unavailable', () => store.list(prefix)),
    compareAndSwap: (key, expectedRevision, value) => perform(
      'store.compareAndSwap',
      'unknown',
      () => store.compareAndSwap(key, expectedRevision, value),
    ),
    watch,
    counters: () => counters,
    setUrgent: (urgent) => {
      isUrgent = urgent;
      if (urgent) blockedUntilMs = Math.min(blockedUntilMs, clock.now() + URGENT_MAX_BACKOFF_MS);
    },
  };
};
