import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { Store } from './store.ts';

/** Options for `createGuardedStore`. */
export interface GuardedStoreOptions {
  readonly clock: Clock;
  /** Maximum duration of a call in ms, including the wait for a token. */
  readonly deadlineMs?: number;
  /** Refill rate of the token bucket; a function is evaluated at each call. */
  readonly callsPerSecond?: number | (() => number);
  /** Capacity of the token bucket: the maximum number of calls in a burst. */
  readonly burst?: number;
  readonly initialBackoffMs?: number;
  readonly maxBackoffMs?: number;
  /** Returns random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Number of calls so far; `refused` calls were not sent. */
export interface GuardedStoreCounters {
  readonly sent: number;
  readonly refused: number;
  readonly failed: number;
}

/** A store whose calls have a deadline, a rate limit and a backoff. */
export interface GuardedStore extends Store {
  readonly counters: () => GuardedStoreCounters;
  /** Switches to a shorter maximum backoff, so that a recovery of the store is noticed earlier. */
  readonly setShortBackoff: (isEnabled: boolean) => void;
}

type Outcome<T> = Result<T, StoreError>;

const DEFAULT_DEADLINE_MS = 2000;
/** Share of the store's 2,000 reads per second that the nodes of a small fleet split among them. */
const FLEET_CALLS_PER_SECOND = 1000;
// 2,000 reads per second divided by 510 nodes leave each node about 4 calls per second.
const MIN_CALLS_PER_SECOND = 4;
const MAX_CALLS_PER_SECOND = 50;
const DEFAULT_BURST = 20;
const DEFAULT_INITIAL_BACKOFF_MS = 100;
const DEFAULT_MAX_BACKOFF_MS = 10_000;
/**
 * A draining owner must get no new work from 2 s after the store's recovery, and moving its slots
 * takes more than 1 s.
 */
const SHORT_MAX_BACKOFF_MS = 400;
const MAX_WAITING_CALLS = 256;

/**
 * Returns the call rate that each node may use, which shrinks as the fleet grows.
 *
 * @param nodes Number of nodes that share the store.
 * @returns Rate in calls per second, between 4 and 50.
 *
 * @example
 * const callsPerSecond = () => callsPerSecondPerNode(members().length);
 * const store = createGuardedStore(httpStore, { clock, callsPerSecond });
 */
export const callsPerSecondPerNode = (nodes: number): number => Math.min(
  MAX_CALLS_PER_SECOND,
  Math.max(MIN_CALLS_PER_SECOND, FLEET_CALLS_PER_SECOND / nodes),
);

/**
 * Wraps a store with a deadline for each call, a token bucket, and an exponential backoff with
 * jitter after failed calls. A call that cannot start before its deadline fails with `unavailable`
 * and is not sent. A waiting watch counts as one call and has no deadline.
 *
 * @param store The store to call.
 * @param options The clock, time limits in ms and the rate limit in calls per second.
 * @returns The wrapped store.
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
  let usesShortBackoff = false;
  let counters: GuardedStoreCounters = { sent: 0, refused: 0, failed: 0 };

  const refuseCall = (step: string, reason: string) => {
    counters = { ...counters, refused: counters.refused + 1 };
    return err(new StoreError('unavailable', reason, { step, peer: 'store' }));
  };

  const refillAndGetWaitMs = (): number => {
    const nowMs = clock.now();
    tokens = Math.min(burst, tokens + (nowMs - refilledAtMs) * tokensPerMs());
    refilledAtMs = nowMs;
    if (nowMs < blockedUntilMs) return blockedUntilMs - nowMs;
    // Tolerates rounding errors of the refill, which would cause another sleep of almost 0 ms.
    if (tokens >= 1 - 1e-6) return 0;
    return (1 - tokens) / tokensPerMs();
  };

  const acquireToken = async (
    step: string,
    deadlineAtMs: number,
    signal?: AbortSignal,
  ): Promise<Outcome<void>> => {
    let waitMs = refillAndGetWaitMs();
    if (waitMs > 0 && waitingCalls >= MAX_WAITING_CALLS) {
      return refuseCall(step, `${waitingCalls} calls are waiting`);
    }
    waitingCalls += 1;
    while (waitMs > 0 && !signal?.aborted && clock.now() + waitMs <= deadlineAtMs) {
      await clock.sleep(waitMs, signal);
      waitMs = refillAndGetWaitMs();
    }
    waitingCalls -= 1;
    if (signal?.aborted) return ok(undefined);
    if (waitMs > 0) {
      const cause = clock.now() < blockedUntilMs ? 'backoff after failures' : 'rate budget';
      return refuseCall(step, `${cause} leaves no time for the call`);
    }
    tokens -= 1;
    counters = { ...counters, sent: counters.sent + 1 };
    return ok(undefined);
  };

  const recordOutcome = (startedAtMs: number, outcome: Outcome<unknown>) => {
    if (outcome.isOk() || ['conflict', 'too-large'].includes(outcome.error.kind)) {
      if (startedAtMs >= failedAtMs) backoffMs = 0;
      return;
    }
    counters = { ...counters, failed: counters.failed + 1 };
    // Failures of calls that were in flight at the same time count once.
    if (startedAtMs < failedAtMs) return;
    failedAtMs = clock.now();
    const backoffLimitMs = usesShortBackoff
      ? Math.min(SHORT_MAX_BACKOFF_MS, maxBackoffMs)
      : maxBackoffMs;
    backoffMs = Math.min(backoffLimitMs, Math.max(initialBackoffMs, backoffMs * 2));
    blockedUntilMs = failedAtMs + backoffMs * (0.5 + random() / 2);
  };

  const callWithDeadline = async <T>(
    step: string,
    timeoutKind: 'unavailable' | 'unknown',
    call: () => Promise<Outcome<T>>,
  ): Promise<Outcome<T>> => {
    const deadlineAtMs = clock.now() + deadlineMs;
    const acquired = await acquireToken(step, deadlineAtMs);
    if (acquired.isErr()) return err(acquired.error);
    const startedAtMs = clock.now();
    const outcome = await new Promise<Outcome<T>>((resolve) => {
      const cancel = clock.schedule(deadlineAtMs - startedAtMs, () => {
        const reason = `no response within ${deadlineMs} ms`;
        resolve(err(new StoreError(timeoutKind, reason, { step, peer: 'store' })));
      });
      call().then((result) => {
        cancel();
        resolve(result);
      });
    });
    recordOutcome(startedAtMs, outcome);
    return outcome;
  };

  const watch: Store['watch'] = async (prefix, afterRevision, watchOptions = {}) => {
    const acquired = await acquireToken('store.watch', Infinity, watchOptions.signal);
    if (acquired.isErr()) return err(acquired.error);
    if (watchOptions.signal?.aborted) return ok([]);
    const startedAtMs = clock.now();
    const outcome = await store.watch(prefix, afterRevision, watchOptions);
    recordOutcome(startedAtMs, outcome);
    return outcome;
  };

  return {
    get: (key) => callWithDeadline('store.get', 'unavailable', () => store.get(key)),
    list: (prefix) => callWithDeadline('store.list', 'unavailable', () => store.list(prefix)),
    compareAndSwap: (key, expectedRevision, value) => callWithDeadline(
      'store.compareAndSwap',
      'unknown',
      () => store.compareAndSwap(key, expectedRevision, value),
    ),
    watch,
    counters: () => counters,
    setShortBackoff: (isEnabled) => {
      usesShortBackoff = isEnabled;
      if (isEnabled) blockedUntilMs = Math.min(blockedUntilMs, clock.now() + SHORT_MAX_BACKOFF_MS);
    },
  };
};
