import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { type RequestClass, requestClasses } from '../contract/mod.ts';
import type { RefusalError } from '../errors/mod.ts';
import type {
  Admission, Permit, PermitOutcome,
} from './admission.ts';
import { createConcurrencyLimit } from './concurrency_limit.ts';
import { createDueTimer } from './_due_timer.ts';
import { createFairQueue, type FairQueue, type FairQueueEntry } from './fair_queue.ts';
import { createRefusal, STATUS_CALLER_GONE, STATUS_UNAVAILABLE } from './_refusal.ts';
import { createRunningSet, type Running } from './_running_set.ts';
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

interface Waiting extends FairQueueEntry {
  readonly requestClass: RequestClass;
  readonly arrivedAt: number;
  /** Time to leave for the answer. */
  readonly expectedMs: number;
  readonly settle: (outcome: Result<Permit, RefusalError>) => void;
}

interface ClassState {
  readonly queue: FairQueue<Waiting>;
  /** Slot time used, divided by the weight of the class. */
  virtualTime: number;
  inFlight: number;
}

const DEFAULT_QUEUE_PER_SLOT = 16;
const SHORT_MEMORY_MS = 1000;

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
  const running = createRunningSet();
  const timer = createDueTimer(clock);
  const states = new Map(requestClasses.map((name): [RequestClass, ClassState] => [
    name, { queue: createFairQueue<Waiting>(), virtualTime: 0, inFlight: 0 },
  ]));
  let virtualTime = 0;
  let lastShortAt = -Infinity;
  /** Requests in all queues. */
  let queued = 0;

  const refuse = createRefusal(options.instance);

  const queuedOf = (requestClass: RequestClass) => states.get(requestClass)!.queue.size();

  const measureUse = (): SlotUse => {
    const now = clock.now();
    const { long, longChecks } = running.countLong(now);
    return {
      limit: limit.current(),
      announced: announcedSlots(),
      inFlight: running.size(),
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
        queued -= 1;
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

  const finish = (entry: Running, outcome: PermitOutcome) => {
    if (!running.remove(entry)) return;
    const { requestClass, startedAt, chargedMs } = entry;
    const state = states.get(requestClass)!;
    const now = clock.now();
    const durationMs = now - startedAt;
    state.inFlight -= 1;
    state.virtualTime += (durationMs - chargedMs) / CLASS_WEIGHT[requestClass];
    if (outcome === 'success') {
      times.record(requestClass, durationMs);
      limit.recordSuccess({ requestClass, durationMs });
    } else if (outcome === 'overload') {
      if (now >= entry.deadlineAt) limit.recordTimeout();
      else limit.recordOverload();
    }
  };

  const createPermit = (waiting: Waiting, pump: () => void): Permit => {
    const { requestClass, arrivedAt, deadlineAt } = waiting;
    const state = states.get(requestClass)!;
    const startedAt = clock.now();
    const longMs = requestClass === 'bulk' ? 0 : times.longAfterMs(requestClass);
    const chargedMs = times.meanMs(requestClass);
    const entry: Running = {
      requestClass, startedAt, longAt: startedAt + longMs, deadlineAt, chargedMs,
    };
    running.add(entry);
    state.inFlight += 1;
    virtualTime = state.virtualTime;
    state.virtualTime += chargedMs / CLASS_WEIGHT[requestClass];
    return {
      queuedMs: startedAt - arrivedAt,
      release: (outcome) => {
        finish(entry, outcome);
        pump();
      },
    };
  };

  /** One timer serves all queues: the next deadline, or the next check that counts as long. */
  const arm = (pump: () => void) => {
    let dueAt = Infinity;
    for (const { queue } of states.values()) dueAt = Math.min(dueAt, queue.earliestDeadline());
    if (states.get('check')!.queue.size() > 0) {
      dueAt = Math.min(dueAt, running.nextLongCheckAt(clock.now()));
    }
    timer.arm(dueAt, pump);
  };

  const pump = () => {
    if (queued === 0) {
      timer.arm(Infinity, pump);
      return;
    }
    refuseLate();
    let requestClass = nextClass(measureUse());
    while (requestClass !== undefined) {
      const waiting = states.get(requestClass)!.queue.pop();
      if (waiting === undefined) break;
      queued -= 1;
      waiting.settle(ok(createPermit(waiting, pump)));
      // From the second request in flight on, late ones of the class are refused.
      if (states.get(requestClass)!.inFlight === 1) refuseLate();
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
    queued -= 1;
    worst.settle(err(refuse('the queue is full', STATUS_UNAVAILABLE, bound)));
    return true;
  };

  const enqueue = (waiting: Waiting) => {
    const { requestClass } = waiting;
    const state = states.get(requestClass)!;
    const use = measureUse();
    const maySendNow = state.queue.size() === 0 && maySend[requestClass](use);
    const waitMs = maySendNow ? 0 : estimateWaitMs(waiting, use);
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
    if (queued === 0 && maySendNow) {
      state.queue.charge(waiting);
      waiting.settle(ok(createPermit(waiting, pump)));
      return;
    }
    state.queue.push(waiting);
    queued += 1;
    pump();
  };

  const leaveQueue = (waiting: Waiting) => {
    if (!states.get(waiting.requestClass)!.queue.remove(waiting)) return;
    queued -= 1;
    waiting.settle(err(refuse('the caller has gone', STATUS_CALLER_GONE, 0)));
    arm(pump);
  };

  // Functions that are created for each request have no names of their own: with the TypeScript
  // loader, naming one costs about as much as the rest of an acquire.
  const acquire: Admission['acquire'] = (request) => new Promise((resolve) => {
    const now = clock.now();
    const {
      requestClass, customer, share, deadlineAt, signal,
    } = request;
    if (requestClass === 'lookup' || requestClass === 'submission') lastShortAt = now;
    const budgetMs = deadlineAt - now;
    if (signal.aborted || budgetMs <= 0) {
      const reason = signal.aborted ? 'the caller has gone' : 'the deadline has passed';
      const status = signal.aborted ? STATUS_CALLER_GONE : STATUS_UNAVAILABLE;
      resolve(err(refuse(reason, status, 0)));
      return;
    }
    const handle: { isSettled: boolean; onAbort?: () => void } = { isSettled: false };
    const waiting: Waiting = {
      requestClass,
      customer,
      share,
      deadlineAt,
      arrivedAt: now,
      // A deadline shorter than the usual time must not exclude a class altogether.
      expectedMs: Math.min(times.expectedMs(requestClass), budgetMs / 2),
      settle: (outcome) => {
        handle.isSettled = true;
        if (handle.onAbort !== undefined) signal.removeEventListener('abort', handle.onAbort);
        resolve(outcome);
      },
    };
    enqueue(waiting);
    if (handle.isSettled) return;
    Object.assign(handle, { onAbort: () => leaveQueue(waiting) });
    signal.addEventListener('abort', handle.onAbort!, { once: true });
  });

  return {
    acquire,
    load: () => {
      const slots = limit.current();
      const meanMs = times.overallMeanMs();
      return {
        inFlight: running.size(),
        queued,
        limit: slots,
        serviceRate: meanMs === 0 ? 0 : (slots * 1000) / meanMs,
      };
    },
  };
};
