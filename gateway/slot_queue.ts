import { err, ok, type Result } from 'neverthrow';
import type { AdmissionLoad } from '../admission/mod.ts';
import type { CancelTask, Clock } from '../clock/mod.ts';
import type { RefusalError, RefusalFigures } from '../errors/mod.ts';
import type { InstanceWork } from '../ranges/mod.ts';
import { createSlotRefusal, type SlotRefusalCause } from './_slot_refusal.ts';
import { MIN_RETURN_MS } from './request.ts';
import { createProcessingTimes } from './processing_times.ts';

/** A request for a slot of the instance. Times are monotonic, in ms. */
export interface SlotRequest {
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** A request that runs at an instance, and fails without the response, made this one. */
  readonly isNestedCall?: boolean;
  /** Groups requests with similar processing times. */
  readonly workClass: string;
  readonly deadlineAt: number;
  /** Time of the route's latency target; in the past for a retry that came too late to meet it. */
  readonly latencyTargetAt: number;
  /** Expected time in ms that the response waits for the link of this host and takes on it. */
  readonly sendMs?: number;
  /** Aborts when the caller no longer waits for the response. */
  readonly signal: AbortSignal;
}

/** Permit for one slot of the instance. */
export interface SlotPermit {
  /** Time in ms that the request waited for the slot. */
  readonly queuedMs: number;
  /** Frees the slot; `isSample` tells whether the duration is that of a complete run. */
  readonly release: (isSample: boolean) => void;
}

/** Admits requests to the slots of one instance. */
export interface SlotQueue {
  /** Waits for a slot; fails with a refusal when none is expected to be free in time. */
  readonly acquire: (request: SlotRequest) => Promise<Result<SlotPermit, RefusalError>>;
  readonly load: () => AdmissionLoad;
  /** Number of requests that wait for a slot. */
  readonly queued: () => number;
  /** Recent runs of the instance, by which keys are moved. */
  readonly recentWork: () => InstanceWork;
}

/** Options of the slot queue. */
export interface SlotQueueOptions {
  readonly clock: Clock;
  /** Maximum number of requests that the instance runs concurrently. */
  readonly slots: () => number;
  /** Name of the instance, which refusals carry. */
  readonly instance: () => string;
  readonly onRefused?: (cause: SlotRefusalCause) => void;
}

interface QueuedRequest {
  readonly request: SlotRequest;
  readonly arrivedAt: number;
  readonly settle: (result: Result<SlotPermit, RefusalError>) => void;
  cancelTimer: CancelTask;
}

interface RunningSlot {
  readonly workClass: string;
  readonly startedAt: number;
}

/** Minimum remaining time of a running request, as a fraction of the mean of its class. */
const MIN_REMAINING_FRACTION = 0.5;
/** Minimum allowed wait, as a fraction of the time to the latency target, even for slow classes. */
const MIN_WAIT_FRACTION = 0.25;
/** Allowed wait of a late request, as a fraction of the time to its deadline. */
const LATE_WAIT_FRACTION = 0.1;
/** A request is late when less than this fraction of its class mean is left to its target. */
const LATE_MEAN_FRACTION = 0.5;
const MS_PER_SECOND = 1000;
/** Callers retry within a third of their deadline, so slots reserved for later stay unused. */
const MAX_RETRY_AFTER_MS = 700;

const isNested = ({ isNestedCall = false }: SlotRequest) => isNestedCall;

/**
 * Creates an empty queue. It refuses a request at once when the wait would be too long for a
 * useful response, and serves requests by priority, so that nested calls of admitted requests and
 * urgent requests go before new ones. Within a priority, requests that can meet their latency
 * target go before late ones, and the one with the earliest target is the first.
 *
 * The order matters in load peaks with retries, when requests exceed the slots for seconds: a FIFO
 * queue would then serve every request late.
 *
 * @param options Clock, number of slots and name of the instance.
 * @returns The queue.
 *
 * @example
 * const permit = await queue.acquire(request);
 * if (permit.isOk()) permit.value.release(true);
 */
export const createSlotQueue = (options: SlotQueueOptions): SlotQueue => {
  const { clock } = options;
  const queue: QueuedRequest[] = [];
  const running = new Set<RunningSlot>();
  const times = createProcessingTimes(clock);
  /** Time up to which the retries of refused callers have been scheduled. */
  let retriesScheduledUntil = -Infinity;

  const slots = () => Math.max(1, options.slots());
  const rateOf = (meanMs: number | undefined) => (
    meanMs === undefined ? 0 : Math.round((slots() * MS_PER_SECOND) / meanMs)
  );
  const { meanOf, upperEstimateOf } = times;

  const isLate = ({ latencyTargetAt, workClass }: SlotRequest) => (
    latencyTargetAt - clock.now() < meanOf(workClass) * LATE_MEAN_FRACTION
  );

  /** Returns whether a request is served before another one that arrived later. */
  const isServedBefore = (one: SlotRequest, other: SlotRequest) => {
    if (isNested(one) !== isNested(other)) return isNested(one);
    if (one.priority !== other.priority) return one.priority < other.priority;
    if (isLate(one) !== isLate(other)) return isLate(other);
    return isLate(one) || one.latencyTargetAt <= other.latencyTargetAt;
  };

  const refuse = (
    cause: SlotRefusalCause,
    retryAfterMs: number,
    { workClass, latencyTargetAt, deadlineAt }: SlotRequest,
    estimates: RefusalFigures = {},
  ) => {
    const now = clock.now();
    options.onRefused?.(cause);
    return err(createSlotRefusal(cause, options.instance(), retryAfterMs, {
      ...estimates,
      inFlight: running.size,
      queued: queue.length,
      slots: slots(),
      classMeanMs: Math.round(meanOf(workClass)),
      toTargetMs: Math.round(latencyTargetAt - now),
      toDeadlineMs: Math.round(deadlineAt - now),
    }));
  };

  /** Returns a Retry-After that staggers refused callers at the rate at which slots become free. */
  const scheduleRetryMs = ({ workClass }: SlotRequest, excessMs: number) => {
    const now = clock.now();
    const retryAt = Math.max(now + excessMs, retriesScheduledUntil)
      + meanOf(workClass) / slots();
    retriesScheduledUntil = Math.min(retryAt, now + MAX_RETRY_AFTER_MS);
    return retriesScheduledUntil - now;
  };

  const remainingMs = ({ workClass, startedAt }: RunningSlot) => {
    const meanMs = meanOf(workClass);
    return Math.max(meanMs * MIN_REMAINING_FRACTION, meanMs - (clock.now() - startedAt));
  };

  /** Expected time until a running request ends, assuming that their ends are spread evenly. */
  const nextFreeMs = () => {
    let totalMs = 0;
    for (const slot of running) totalMs += remainingMs(slot);
    return running.size < slots() ? 0 : (2 * totalMs) / (running.size * (running.size + 1));
  };

  /** Expected wait of a new request: time to the next free slot plus all work queued before it. */
  const expectedWaitMs = (request: SlotRequest) => {
    const ahead = queue.filter((queued) => isServedBefore(queued.request, request));
    if (running.size < slots() && ahead.length === 0) return 0;
    let workMs = 0;
    for (const queued of ahead) workMs += meanOf(queued.request.workClass);
    return nextFreeMs() + workMs / slots();
  };

  /** Longest wait after which a response is still useful. */
  const allowedWaitMs = (request: SlotRequest) => {
    const { workClass, latencyTargetAt, deadlineAt } = request;
    const now = clock.now();
    const processingMs = upperEstimateOf(workClass);
    const toTarget = latencyTargetAt - now;
    const toDeadline = deadlineAt - now - processingMs;
    // The calling request already holds a slot and fails without the nested call.
    if (isNested(request)) return toDeadline;
    if (isLate(request)) return toDeadline * LATE_WAIT_FRACTION;
    if (deadlineAt - now < MIN_RETURN_MS) return toDeadline;
    return Math.min(toDeadline, Math.max(toTarget - processingMs, toTarget * MIN_WAIT_FRACTION));
  };

  const dequeue = (queued: QueuedRequest) => {
    const index = queue.indexOf(queued);
    if (index < 0) return false;
    queue.splice(index, 1);
    queued.cancelTimer();
    return true;
  };

  const start = (request: SlotRequest, arrivedAt: number): SlotPermit => {
    const slot: RunningSlot = { workClass: request.workClass, startedAt: clock.now() };
    running.add(slot);
    return {
      queuedMs: slot.startedAt - arrivedAt,
      release: (isSample) => {
        if (!running.delete(slot)) return;
        if (isSample) {
          times.record(slot.workClass, clock.now() - slot.startedAt);
        }
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        admitQueued();
      },
    };
  };

  const nextQueued = () => {
    let best: QueuedRequest | undefined;
    for (const queued of queue) {
      if (best === undefined || !isServedBefore(best.request, queued.request)) best = queued;
    }
    return best;
  };

  function admitQueued() {
    while (running.size < slots()) {
      const queued = nextQueued();
      if (queued === undefined) return;
      dequeue(queued);
      queued.settle(ok(start(queued.request, queued.arrivedAt)));
    }
  }

  const expire = (queued: QueuedRequest) => {
    if (!dequeue(queued)) return;
    const { request, arrivedAt } = queued;
    const waitedMs = Math.round(clock.now() - arrivedAt);
    queued.settle(refuse('expired', expectedWaitMs(request), request, { waitedMs }));
  };

  const acquire: SlotQueue['acquire'] = (request) => new Promise((resolve) => {
    const now = clock.now();
    const waitMs = expectedWaitMs(request);
    const allowedMs = allowedWaitMs(request);
    const { sendMs = 0 } = request;
    if (request.signal.aborted || request.deadlineAt <= now) {
      resolve(refuse('deadline', 0, request));
      return;
    }
    // A free slot is of no use to a response that the link cannot send in time.
    if (waitMs === 0 && (sendMs === 0 || sendMs <= allowedMs)) {
      resolve(ok(start(request, now)));
      return;
    }
    if (waitMs + sendMs > allowedMs) {
      const excessMs = waitMs + sendMs - Math.max(0, allowedMs);
      resolve(refuse('wait', scheduleRetryMs(request, excessMs), request, {
        expectedWaitMs: Math.round(waitMs),
        allowedWaitMs: Math.round(allowedMs),
        sendMs: Math.round(sendMs),
      }));
      return;
    }
    const settled = new AbortController();
    const queued: QueuedRequest = {
      request,
      arrivedAt: now,
      settle: (result) => {
        settled.abort();
        resolve(result);
      },
      cancelTimer: () => undefined,
    };
    request.signal.addEventListener('abort', () => {
      if (dequeue(queued)) queued.settle(refuse('gone', 0, request));
    }, { once: true, signal: settled.signal });
    queued.cancelTimer = clock.schedule(Math.max(1, allowedMs - sendMs), () => expire(queued));
    queue.push(queued);
  });

  return {
    acquire,
    queued: () => queue.length,
    recentWork: () => ({ slots: slots(), classes: times.recentWork() }),
    load: () => ({
      inFlight: running.size,
      queued: queue.length,
      limit: slots(),
      serviceRate: rateOf(times.overallMean()),
    }),
  };
};
