import { err, ok, type Result } from 'neverthrow';
import type { AdmissionLoad } from '../admission/mod.ts';
import type { CancelTask, Clock } from '../clock/mod.ts';
import { RefusalError } from '../errors/mod.ts';

/** A request that asks for a slot of the instance; times are monotonic in ms. */
export interface SlotRequest {
  /** Rank of the request; 0 is the highest. */
  readonly priority: number;
  /** Requests of one work class take about the same time. */
  readonly workClass: string;
  readonly deadlineAt: number;
  /** Time by which the answer has its full worth. */
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

/** Duration in ms assumed for a work class before it was measured. */
const DEFAULT_WORK_MS = 80;
/** Weight of one run in the mean of its class. */
const MEAN_WEIGHT = 0.06;
/** Part of its mean that a run beyond its mean is expected to take still. */
const OVERDUE_FRACTION = 0.5;
/** Part of the time to the target that a request may wait even if its class is slower than that. */
const MIN_WAIT_FRACTION = 0.25;
/** A request that cannot end by its target may wait for this part of the time to its deadline. */
const LATE_WAIT_FRACTION = 0.1;
const STATUS_UNAVAILABLE = 503;
const MIN_RETRY_AFTER_MS = 60;
/** Callers come back within a third of their deadline, so later places stay empty. */
const MAX_PROMISE_MS = 700;

/**
 * Creates a queue without requests. It refuses at once what would wait too long for an answer of
 * worth, and serves higher ranks first, so that the calls of admitted requests and urgent requests
 * go before new ones.
 *
 * Answers the crest of a swing: more requests than slots for seconds.
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
  const means = new Map<string, number>();
  let overallMean = DEFAULT_WORK_MS;
  /** Time in ms up to which places have been promised to refused callers. */
  let promisedUntil = -Infinity;
  let samples = 0;

  const slots = () => Math.max(1, options.slots());
  const meanOf = (workClass: string) => means.get(workClass) ?? DEFAULT_WORK_MS;

  const refuse = (reason: string, retryAfterMs: number) => err(new RefusalError(reason, {
    step: 'admission.acquire',
    peer: options.peer(),
    status: STATUS_UNAVAILABLE,
    outcome: 'not run',
    retryAfterSeconds: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) / 1000,
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

  /** Expected wait of a new request of this rank: all work before it, divided by the slots. */
  const expectedWaitMs = (priority: number) => {
    const ahead = waiting.filter(({ request }) => request.priority <= priority);
    if (running.size < slots() && ahead.length === 0) return 0;
    let work = 0;
    for (const one of ahead) work += meanOf(one.request.workClass);
    for (const one of running) work += remainingMs(one);
    return work / slots();
  };

  /** Longest wait after which an answer still has worth. */
  const allowedWaitMs = ({ workClass, targetAt, deadlineAt }: SlotRequest) => {
    const now = clock.now();
    const mean = meanOf(workClass);
    const toTarget = targetAt - now;
    const toDeadline = deadlineAt - now - mean;
    const timely = Math.max(toTarget - mean, toTarget * MIN_WAIT_FRACTION);
    const late = toDeadline * LATE_WAIT_FRACTION;
    return Math.min(toDeadline, Math.max(timely, late));
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
          const duration = clock.now() - entry.startedAt;
          const mean = meanOf(entry.workClass);
          means.set(entry.workClass, mean + (duration - mean) * MEAN_WEIGHT);
          samples += 1;
          overallMean += (duration - overallMean) / Math.min(samples, 1 / MEAN_WEIGHT);
        }
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        pump();
      },
    };
  };

  const next = () => {
    let best: Waiting | undefined;
    for (const one of waiting) {
      if (best === undefined || one.request.priority < best.request.priority) best = one;
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
    one.settle(refuse('no slot was free in time', expectedWaitMs(one.request.priority)));
  };

  const acquire: SlotQueue['acquire'] = (request) => new Promise((resolve) => {
    const now = clock.now();
    const waitMs = expectedWaitMs(request.priority);
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
      serviceRate: samples === 0 ? 0 : (slots() * 1000) / overallMean,
    }),
  };
};
