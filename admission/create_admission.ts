import { err, ok, type Result } from 'neverthrow';
import type { CancelTask, Clock } from '../clock/mod.ts';
import { type RequestClass, requestClasses } from '../contract/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import type {
  Admission, AdmissionRequest, Permit, PermitOutcome,
} from './admission.ts';
import { createConcurrencyLimit } from './concurrency_limit.ts';
import { createFairQueue, type FairQueue } from './fair_queue.ts';
import { createServiceTimes } from './_service_times.ts';
import {
  CLASS_WEIGHT, classPart, classSlots, maySend, type SlotUse,
} from './_slot_shares.ts';

/** Options of the admission of one instance. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Slots that the instance announces; may change over time. */
  readonly announcedSlots: () => number;
  /** Name of the instance, for refusals. */
  readonly instance?: string;
  /** Bound of each class's queue, per announced slot. */
  readonly queuePerSlot?: number;
}

interface Waiting extends AdmissionRequest {
  readonly arrivedAt: number;
  /** Time to leave for the answer. */
  readonly expectedMs: number;
  readonly settle: (outcome: Result<Permit, RefusalError>) => void;
}

interface Running {
  readonly requestClass: RequestClass;
  readonly startedAt: number;
  readonly longAt: number;
}

interface ClassState {
  readonly queue: FairQueue<Waiting>;
  /** Slot time used, divided by the weight of the class. */
  virtualTime: number;
  inFlight: number;
}

const DEFAULT_QUEUE_PER_SLOT = 16;
const SHORT_MEMORY_MS = 1000;
const MAX_RETRY_AFTER_SECONDS = 10;
const STATUS_UNAVAILABLE = 503;
/** Status of a request whose caller has gone; nobody receives it. */
const STATUS_CALLER_GONE = 499;
/**
 * Creates the admission of one instance: an adaptive concurrency limit, reserves that keep long
 * requests from holding every slot, and short queues that are fair between classes and customers.
 *
 * @param options Clock, announced slots and queue bound.
 * @returns The admission.
 *
 * @example
 * const admission = createAdmission({ clock, announcedSlots: () => 6 });
 * const permit = await admission.acquire(request);
 */
export const createAdmission = (options: AdmissionOptions): Admission => {
  const { clock } = options;
  // Without any slot, nothing would be measured and the instance could never recover.
  const announcedSlots = () => Math.max(1, options.announcedSlots());
  const limit = createConcurrencyLimit({ clock, announcedSlots });
  const times = createServiceTimes(clock);
  const running = new Set<Running>();
  const states = new Map(requestClasses.map((name): [RequestClass, ClassState] => [
    name, { queue: createFairQueue<Waiting>(), virtualTime: 0, inFlight: 0 },
  ]));
  let virtualTime = 0;
  let lastShortAt = -Infinity;
  let cancelTimer: CancelTask = () => undefined;
  let timerAt = Infinity;

  const refuse = (reason: string, status: number, waitMs: number) => {
    const seconds = Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, Math.ceil(waitMs / 1000)));
    return new RefusalError(reason, {
      step: 'admission.acquire',
      peer: options.instance,
      status,
      outcome: 'not run',
      retryAfterSeconds: seconds,
    });
  };

  const queuedOf = (requestClass: RequestClass) => states.get(requestClass)!.queue.size();

  const measureUse = (): SlotUse => {
    const now = clock.now();
    let long = 0;
    let longChecks = 0;
    for (const { requestClass, longAt } of running) {
      if (longAt > now) continue;
      long += 1;
      if (requestClass === 'check') longChecks += 1;
    }
    return {
      limit: limit.current(),
      announced: announcedSlots(),
      inFlight: running.size,
      long,
      bulk: states.get('bulk')!.inFlight,
      checks: states.get('check')!.inFlight,
      longChecks,
      shortQueued: queuedOf('lookup') + queuedOf('submission'),
      hasShort: now - lastShortAt < SHORT_MEMORY_MS,
    };
  };

  /** Expected wait in the queue, from the measured rate of the class and the shares queued. */
  const estimateWaitMs = (waiting: Waiting, use: SlotUse) => {
    const { requestClass } = waiting;
    const part = classPart(requestClass, (name) => queuedOf(name) > 0);
    const slots = Math.max(1, classSlots(requestClass, use) * part);
    const { queue } = states.get(requestClass)!;
    return ((queue.countAhead(waiting) + 1) * times.meanMs(requestClass)) / slots;
  };

  const isLate = (waiting: Waiting) => waiting.deadlineAt - clock.now() < waiting.expectedMs;
  const isExpired = (waiting: Waiting) => waiting.deadlineAt <= clock.now();

  const refuseLate = () => {
    for (const [requestClass, { queue, inFlight }] of states) {
      if (queue.size() === 0) continue;
      // With none in flight, one is let through so that the measured times are renewed.
      for (const waiting of queue.takeLate(inFlight === 0 ? isExpired : isLate)) {
        const waitMs = times.meanMs(requestClass);
        waiting.settle(err(refuse('the deadline cannot be met', STATUS_UNAVAILABLE, waitMs)));
      }
    }
  };

  const nextClass = (use: SlotUse): RequestClass | undefined => {
    let best: RequestClass | undefined;
    let bestTime = Infinity;
    for (const [name, state] of states) {
      if (state.queue.size() === 0) continue;
      if (!maySend[name](use)) {
        limit.noteSaturation();
        continue;
      }
      if (state.virtualTime < bestTime) {
        best = name;
        bestTime = state.virtualTime;
      }
    }
    return best;
  };

  const createPermit = (waiting: Waiting, pump: () => void): Permit => {
    const { requestClass, arrivedAt } = waiting;
    const state = states.get(requestClass)!;
    const startedAt = clock.now();
    const longAt = requestClass === 'bulk'
      ? startedAt
      : startedAt + times.longAfterMs(requestClass);
    const entry: Running = { requestClass, startedAt, longAt };
    const chargedMs = times.meanMs(requestClass);
    running.add(entry);
    state.inFlight += 1;
    virtualTime = state.virtualTime;
    state.virtualTime += chargedMs / CLASS_WEIGHT[requestClass];
    const release = (outcome: PermitOutcome) => {
      if (!running.delete(entry)) return;
      const durationMs = clock.now() - startedAt;
      state.inFlight -= 1;
      state.virtualTime += (durationMs - chargedMs) / CLASS_WEIGHT[requestClass];
      if (outcome === 'success') {
        times.record(requestClass, durationMs);
        limit.recordSuccess({ requestClass, durationMs });
      } else if (outcome === 'overload') {
        if (clock.now() >= waiting.deadlineAt) limit.recordTimeout();
        else limit.recordOverload();
      }
      pump();
    };
    return { queuedMs: startedAt - arrivedAt, release };
  };

  /** One timer serves all queues: the next deadline, or the next check that counts as long. */
  const arm = (pump: () => void) => {
    let dueAt = Infinity;
    for (const { queue } of states.values()) dueAt = Math.min(dueAt, queue.earliestDeadline());
    if (states.get('check')!.queue.size() > 0) {
      for (const { requestClass, longAt } of running) {
        if (requestClass === 'check' && longAt > clock.now()) dueAt = Math.min(dueAt, longAt);
      }
    }
    if (dueAt === timerAt) return;
    cancelTimer();
    cancelTimer = () => undefined;
    timerAt = dueAt;
    if (dueAt === Infinity) return;
    cancelTimer = clock.schedule(dueAt - clock.now(), () => {
      timerAt = Infinity;
      pump();
    });
  };

  const pump = () => {
    refuseLate();
    let requestClass = nextClass(measureUse());
    while (requestClass !== undefined) {
      const waiting = states.get(requestClass)!.queue.pop();
      if (waiting === undefined) break;
      waiting.settle(ok(createPermit(waiting, pump)));
      refuseLate();
      requestClass = nextClass(measureUse());
    }
    arm(pump);
  };

  /** Makes room in a full queue at the cost of the customer that fills it most. */
  const makeRoom = (waiting: Waiting, queue: FairQueue<Waiting>): boolean => {
    const bound = (options.queuePerSlot ?? DEFAULT_QUEUE_PER_SLOT) * announcedSlots();
    if (queue.size() < bound) return true;
    const worst = queue.mostExcessive();
    if (worst === undefined || worst.customer === waiting.customer) return false;
    queue.remove(worst);
    worst.settle(err(refuse('the queue is full', STATUS_UNAVAILABLE, bound)));
    return true;
  };

  const enqueue = (waiting: Waiting) => {
    const { requestClass } = waiting;
    const state = states.get(requestClass)!;
    const use = measureUse();
    const waitMs = state.queue.size() === 0 && maySend[requestClass](use)
      ? 0
      : estimateWaitMs(waiting, use);
    const leftMs = waiting.deadlineAt - clock.now() - waiting.expectedMs;
    const mustProbe = state.inFlight === 0 && state.queue.size() === 0;
    if (waitMs > leftMs && waitMs > 0 && !mustProbe) {
      const reason = 'the deadline cannot be met at the measured service rate';
      waiting.settle(err(refuse(reason, STATUS_UNAVAILABLE, waitMs)));
      return;
    }
    if (!makeRoom(waiting, state.queue)) {
      waiting.settle(err(refuse('the queue is full', STATUS_UNAVAILABLE, waitMs)));
      return;
    }
    // An idle class does not save up slot time.
    if (state.queue.size() === 0) state.virtualTime = Math.max(state.virtualTime, virtualTime);
    state.queue.push(waiting);
    pump();
  };

  const acquire: Admission['acquire'] = (request) => new Promise((resolve) => {
    const now = clock.now();
    const { requestClass, signal } = request;
    if (requestClass === 'lookup' || requestClass === 'submission') lastShortAt = now;
    const budgetMs = request.deadlineAt - now;
    let waiting: Waiting | undefined;
    const onAbort = () => {
      if (waiting === undefined || !states.get(requestClass)!.queue.remove(waiting)) return;
      waiting.settle(err(refuse('the caller has gone', STATUS_CALLER_GONE, 0)));
      arm(pump);
    };
    let isListening = false;
    let isSettled = false;
    const settle = (outcome: Result<Permit, RefusalError>) => {
      isSettled = true;
      if (isListening) signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    if (signal.aborted || budgetMs <= 0) {
      const reason = signal.aborted ? 'the caller has gone' : 'the deadline has passed';
      const status = signal.aborted ? STATUS_CALLER_GONE : STATUS_UNAVAILABLE;
      settle(err(refuse(reason, status, 0)));
      return;
    }
    // A deadline shorter than the usual time must not exclude a class altogether.
    const expectedMs = Math.min(times.expectedMs(requestClass), budgetMs / 2);
    waiting = {
      ...request, arrivedAt: now, expectedMs, settle,
    };
    enqueue(waiting);
    if (isSettled) return;
    isListening = true;
    signal.addEventListener('abort', onAbort, { once: true });
  });

  return {
    acquire,
    load: () => {
      const slots = limit.current();
      const meanMs = times.overallMeanMs();
      return {
        inFlight: running.size,
        queued: requestClasses.reduce((total, name) => total + queuedOf(name), 0),
        limit: slots,
        serviceRate: meanMs === 0 ? 0 : (slots * 1000) / meanMs,
      };
    },
  };
};
