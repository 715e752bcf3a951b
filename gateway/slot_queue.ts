import { err, ok, type Result } from 'neverthrow';
import type { AdmissionLoad } from '../admission/mod.ts';
import type { CancelTask, Clock } from '../clock/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import { CALL_PRIORITY } from './request.ts';
import { createWorkTimes } from './work_times.ts';

/** A request that asks for a slot of the instance; times are monotonic in ms. */
export interface SlotRequest {
  /** Rank of the request; 0 is the highest, of the calls that running requests make. */
  readonly priority: number;
  /** Requests of one work class take about the same time. */
  readonly workClass: string;
  readonly deadlineAt: number;
  /** Time by which the answer has its full worth; past for a caller that returned too late. */
  readonly targetAt: number;
  /** Aborts when the answer is no longer wanted. */
  readonly signal: AbortSignal;
}

/** One occupied slot. */
export interface SlotPermit {
  readonly queuedMs: number;
  /** Frees the slot; `measured` tells whether the duration is that of a whole run. */
  readonly release: (measured: boolean) => void;
}

/** Admits requests to the slots of one instance. */
export interface SlotQueue {
  readonly acquire: (request: SlotRequest) => Promise<Result<SlotPermit, RefusalError>>;
  readonly load: () => AdmissionLoad;
}

/** Options of a queue. */
export interface SlotQueueOptions {
  readonly clock: Clock;
  /** Requests that the instance runs at a time. */
  readonly slots: () => number;
  /** Name of the instance, for refusals. */
  readonly peer: () => string;
}

interface Waiting {
  readonly request: SlotRequest;
  readonly arrivedAt: number;
  readonly settle: (result: Result<SlotPermit, RefusalError>) => void;
  cancelTimer: CancelTask;
}

interface RunningSlot {
  readonly workClass: string;
  readonly startedAt: number;
}

/** Part of its mean that a run beyond its mean is expected to take still. */
const OVERDUE_FRACTION = 0.5;
/** Part of the time to the target that a request may wait even if its class is slower than that. */
const MIN_WAIT_FRACTION = 0.25;
/** A request that cannot end by its target may wait for this part of the time to its deadline. */
const LATE_WAIT_FRACTION = 0.1;
/** A request with less than this part of its mean until its target cannot end by it. */
const LATE_WORK_FRACTION = 0.5;
const STATUS_UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
const MIN_RETRY_AFTER_MS = 60;
/** Callers come back within a third of their deadline, so later places stay empty. */
const MAX_PROMISE_MS = 700;

/**
 * Creates a queue without requests. It refuses at once what would wait too long for an answer of
 * worth, and serves higher ranks first, so that the calls of admitted requests and urgent requests
 * go before new ones. Within a rank, requests that can end by their target go before those that
 * cannot.
 *
 * Answers the crest of a swing with returning callers: more requests than slots for seconds. First
 * come, first served would then serve each one late.
 *
 * @param options Clock, slots and name of the instance.
 * @returns The queue.
 *
 * @example
 * const permit = await queue.acquire(request);
 * if (permit.isOk()) permit.value.release(true);
 */
export const createSlotQueue = (options: SlotQueueOptions): SlotQueue => {
  const { clock } = options;
  const waiting: Waiting[] = [];
  const running = new Set<RunningSlot>();
  const times = createWorkTimes();
  /** Time in ms up to which places have been promised to refused callers. */
  let promisedUntil = -Infinity;

  const slots = () => Math.max(1, options.slots());
  const rateOf = (meanMs: number | undefined) => (
    meanMs === undefined ? 0 : Math.round((slots() * MS_PER_SECOND) / meanMs)
  );
  const { meanOf, usualOf } = times;

  const isLate = ({ targetAt, workClass }: SlotRequest) => (
    targetAt - clock.now() < meanOf(workClass) * LATE_WORK_FRACTION
  );

  /** Tells whether a request gets a free slot before another one that came later. */
  const goesBefore = (one: SlotRequest, other: SlotRequest) => {
    if (one.priority !== other.priority) return one.priority < other.priority;
    return !isLate(one) || isLate(other);
  };

  const refuse = (reason: string, retryAfterMs: number) => err(new RefusalError(reason, {
    step: 'admission.acquire',
    peer: options.peer(),
    status: STATUS_UNAVAILABLE,
    outcome: 'not run',
    retryAfterSeconds: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) / MS_PER_SECOND,
  }));

  /** Gives each refused caller a place of its own, at the rate at which slots become free. */
  const promisePlace = ({ workClass }: SlotRequest, excessMs: number) => {
    const now = clock.now();
    const next = Math.max(now + excessMs, promisedUntil) + meanOf(workClass) / slots();
    promisedUntil = Math.min(next, now + MAX_PROMISE_MS);
    return promisedUntil - now;
  };

  const remainingMs = ({ workClass, startedAt }: RunningSlot) => {
    const mean = meanOf(workClass);
    return Math.max(mean * OVERDUE_FRACTION, mean - (clock.now() - startedAt));
  };

  /** Expected time until one of the running requests ends, if their ends are spread evenly. */
  const nextFreeMs = () => {
    let total = 0;
    for (const one of running) total += remainingMs(one);
    return running.size < slots() ? 0 : (2 * total) / (running.size * (running.size + 1));
  };

  /** Expected wait of a new request: the next free slot and all work before it. */
  const expectedWaitMs = (request: SlotRequest) => {
    const ahead = waiting.filter((one) => goesBefore(one.request, request));
    if (running.size < slots() && ahead.length === 0) return 0;
    let work = 0;
    for (const one of ahead) work += meanOf(one.request.workClass);
    return nextFreeMs() + work / slots();
  };

  /** Longest wait after which an answer still has worth. */
  const allowedWaitMs = (request: SlotRequest) => {
    const { workClass, targetAt, deadlineAt } = request;
    const now = clock.now();
    const usual = usualOf(workClass);
    const toTarget = targetAt - now;
    const toDeadline = deadlineAt - now - usual;
    // The request that makes the call has a slot already, and fails without the call.
    if (request.priority === CALL_PRIORITY) return Math.min(toDeadline, toTarget);
    if (isLate(request)) return toDeadline * LATE_WAIT_FRACTION;
    return Math.min(toDeadline, Math.max(toTarget - usual, toTarget * MIN_WAIT_FRACTION));
  };

  const take = (one: Waiting) => {
    const index = waiting.indexOf(one);
    if (index < 0) return false;
    waiting.splice(index, 1);
    one.cancelTimer();
    return true;
  };

  const start = (request: SlotRequest, arrivedAt: number): SlotPermit => {
    const entry: RunningSlot = { workClass: request.workClass, startedAt: clock.now() };
    running.add(entry);
    return {
      queuedMs: entry.startedAt - arrivedAt,
      release: (measured) => {
        if (!running.delete(entry)) return;
        if (measured) {
          times.record(entry.workClass, clock.now() - entry.startedAt);
        }
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        pump();
      },
    };
  };

  const next = () => {
    let best: Waiting | undefined;
    for (const one of waiting) {
      if (best === undefined || !goesBefore(best.request, one.request)) best = one;
    }
    return best;
  };

  function pump() {
    while (running.size < slots()) {
      const one = next();
      if (one === undefined) return;
      take(one);
      one.settle(ok(start(one.request, one.arrivedAt)));
    }
  }

  const giveUp = (one: Waiting) => {
    if (!take(one)) return;
    one.settle(refuse('no slot was free in time', expectedWaitMs(one.request)));
  };

  const acquire: SlotQueue['acquire'] = (request) => new Promise((resolve) => {
    const now = clock.now();
    const waitMs = expectedWaitMs(request);
    const allowedMs = allowedWaitMs(request);
    if (request.signal.aborted || request.deadlineAt <= now) {
      resolve(refuse('the deadline has passed', 0));
      return;
    }
    if (waitMs === 0) {
      resolve(ok(start(request, now)));
      return;
    }
    if (waitMs > allowedMs) {
      const excessMs = waitMs - Math.max(0, allowedMs);
      resolve(refuse('the wait would be too long', promisePlace(request, excessMs)));
      return;
    }
    const settled = new AbortController();
    const one: Waiting = {
      request,
      arrivedAt: now,
      settle: (result) => {
        settled.abort();
        resolve(result);
      },
      cancelTimer: () => undefined,
    };
    request.signal.addEventListener('abort', () => {
      if (take(one)) one.settle(refuse('the caller has gone', 0));
    }, { once: true, signal: settled.signal });
    one.cancelTimer = clock.schedule(Math.max(1, allowedMs), () => giveUp(one));
    waiting.push(one);
  });

  return {
    acquire,
    load: () => ({
      inFlight: running.size,
      queued: waiting.length,
      limit: slots(),
      serviceRate: rateOf(times.overallMean()),
    }),
  };
};
