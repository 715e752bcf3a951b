import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { type RequestClass, requestClasses } from '../contract/mod.ts';
import type { RefusalError } from '../errors/mod.ts';
import type {
  Admission, Permit, PermitOutcome,
} from './admission.ts';
import { createConcurrencyLimit } from './concurrency_limit.ts';
import { createDeadlineTimer } from './_deadline_timer.ts';
import { createFairQueue, type FairQueue, type FairQueueEntry } from './fair_queue.ts';
import { createRefusal, STATUS_CALLER_GONE, STATUS_UNAVAILABLE } from './_refusal.ts';
import { createRunningSet, type RunningRequest } from './_running_set.ts';
import { createServiceTimes } from './_service_times.ts';
import {
  CLASS_WEIGHT, classFraction, maxClassSlots, mayDispatch, type SlotUsage,
} from './_class_slots.ts';

/** Options of `createAdmission`. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Concurrency slots that the instance announces; may change over time. */
  readonly announcedSlots: () => number;
  /** Name of the instance, reported in refusals. */
  readonly instance?: string;
  /** Maximum queue length of each request class, per announced slot. */
  readonly maxQueuedPerSlot?: number;
}

interface QueuedRequest extends FairQueueEntry {
  readonly requestClass: RequestClass;
  readonly arrivedAt: number;
  /** Expected time in ms from dispatch to the start of the response. */
  readonly expectedMs: number;
  readonly settle: (outcome: Result<Permit, RefusalError>) => void;
}

interface ClassState {
  readonly queue: FairQueue<QueuedRequest>;
  /** Slot time used in ms, divided by the weight of the class. */
  virtualTime: number;
  inFlight: number;
}

const DEFAULT_MAX_QUEUED_PER_SLOT = 16;
const RECENT_SHORT_MS = 1000;

/**
 * Creates admission control for one instance: an adaptive concurrency limit, reserved slots that
 * long requests cannot occupy, and bounded queues that are fair between classes and customers.
 *
 * @param options Clock, announced slots and queue bound.
 * @returns The admission control, without requests.
 *
 * @example
 * const admission = createAdmission({ clock, announcedSlots: () => 6 });
 * const permit = await admission.acquire(request);
 */
export const createAdmission = (options: AdmissionOptions): Admission => {
  const { clock } = options;
  // With no slot at all, nothing would be measured and the instance could never recover.
  const announcedSlots = () => Math.max(1, options.announcedSlots());
  const limit = createConcurrencyLimit({ clock, announcedSlots });
  const times = createServiceTimes(clock);
  const running = createRunningSet();
  const timer = createDeadlineTimer(clock);
  const states = new Map(requestClasses.map((name): [RequestClass, ClassState] => [
    name, { queue: createFairQueue<QueuedRequest>(), virtualTime: 0, inFlight: 0 },
  ]));
  let virtualTime = 0;
  let lastShortAt = -Infinity;
  /** Number of requests in all queues. */
  let queued = 0;

  const refuse = createRefusal(options.instance);

  const queuedOf = (requestClass: RequestClass) => states.get(requestClass)!.queue.size();

  const measureUsage = (): SlotUsage => {
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
      queuedShort: queuedOf('lookup') + queuedOf('submission'),
      hasRecentShort: now - lastShortAt < RECENT_SHORT_MS,
    };
  };

  /** Expected wait in the queue, from the mean service time of the class and its fair share. */
  const estimateWaitMs = (waiting: QueuedRequest, usage: SlotUsage) => {
    const { requestClass } = waiting;
    const fraction = classFraction(requestClass, (name) => queuedOf(name) > 0);
    const slots = Math.max(1, maxClassSlots(requestClass, usage) * fraction);
    const { queue } = states.get(requestClass)!;
    return ((queue.countAhead(waiting) + 1) * times.meanMs(requestClass)) / slots;
  };

  const isLate = (waiting: QueuedRequest) => waiting.deadlineAt - clock.now() < waiting.expectedMs;
  const isExpired = (waiting: QueuedRequest) => waiting.deadlineAt <= clock.now();

  const refuseLate = () => {
    for (const [requestClass, { queue, inFlight }] of states) {
      if (queue.size() === 0) continue;
      // With none in flight only expired ones are refused: one must run to renew the estimate.
      for (const waiting of queue.removeLate(inFlight === 0 ? isExpired : isLate)) {
        queued -= 1;
        const waitMs = times.meanMs(requestClass);
        waiting.settle(err(refuse('the deadline cannot be met', STATUS_UNAVAILABLE, waitMs)));
      }
    }
  };

  const nextClass = (usage: SlotUsage): RequestClass | undefined => {
    let best: RequestClass | undefined;
    let bestTime = Infinity;
    for (const [name, state] of states) {
      if (state.queue.size() === 0) continue;
      if (!mayDispatch[name](usage)) {
        limit.recordSaturation();
        continue;
      }
      if (state.virtualTime < bestTime) {
        best = name;
        bestTime = state.virtualTime;
      }
    }
    return best;
  };

  const finish = (entry: RunningRequest, outcome: PermitOutcome) => {
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

  const createPermit = (waiting: QueuedRequest, dispatch: () => void): Permit => {
    const { requestClass, arrivedAt, deadlineAt } = waiting;
    const state = states.get(requestClass)!;
    const startedAt = clock.now();
    const longMs = requestClass === 'bulk' ? 0 : times.longAfterMs(requestClass);
    const chargedMs = times.meanMs(requestClass);
    const entry: RunningRequest = {
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
        dispatch();
      },
    };
  };

  /** Arms the timer of all queues for the next deadline or the next check that becomes long. */
  const armTimer = (dispatch: () => void) => {
    let dueAt = Infinity;
    for (const { queue } of states.values()) dueAt = Math.min(dueAt, queue.earliestDeadline());
    if (states.get('check')!.queue.size() > 0) {
      dueAt = Math.min(dueAt, running.nextLongCheckAt(clock.now()));
    }
    timer.arm(dueAt, dispatch);
  };

  const dispatch = () => {
    if (queued === 0) {
      timer.arm(Infinity, dispatch);
      return;
    }
    refuseLate();
    let requestClass = nextClass(measureUsage());
    while (requestClass !== undefined) {
      const waiting = states.get(requestClass)!.queue.pop();
      if (waiting === undefined) break;
      queued -= 1;
      waiting.settle(ok(createPermit(waiting, dispatch)));
      // Now that the class has a request in flight, its late ones are refused.
      if (states.get(requestClass)!.inFlight === 1) refuseLate();
      requestClass = nextClass(measureUsage());
    }
    armTimer(dispatch);
  };

  /** Makes room in a full queue by evicting an entry of the customer with the largest backlog. */
  const makeRoom = (waiting: QueuedRequest, queue: FairQueue<QueuedRequest>): boolean => {
    const bound = (options.maxQueuedPerSlot ?? DEFAULT_MAX_QUEUED_PER_SLOT) * announcedSlots();
    if (queue.size() < bound) return true;
    const evicted = queue.evictionCandidate();
    if (evicted === undefined || evicted.customer === waiting.customer) return false;
    queue.remove(evicted);
    queued -= 1;
    evicted.settle(err(refuse('the queue is full', STATUS_UNAVAILABLE, bound)));
    return true;
  };

  const dispatchOrEnqueue = (waiting: QueuedRequest) => {
    const { requestClass } = waiting;
    const state = states.get(requestClass)!;
    const usage = measureUsage();
    const mayDispatchNow = state.queue.size() === 0 && mayDispatch[requestClass](usage);
    const waitMs = mayDispatchNow ? 0 : estimateWaitMs(waiting, usage);
    const slackMs = waiting.deadlineAt - clock.now() - waiting.expectedMs;
    const mustProbe = state.inFlight === 0 && state.queue.size() === 0;
    if (waitMs > slackMs && waitMs > 0 && !mustProbe) {
      const reason = 'the deadline cannot be met at the measured service rate';
      waiting.settle(err(refuse(reason, STATUS_UNAVAILABLE, waitMs)));
      return;
    }
    if (!makeRoom(waiting, state.queue)) {
      waiting.settle(err(refuse('the queue is full', STATUS_UNAVAILABLE, waitMs)));
      return;
    }
    // An idle class does not accumulate credit.
    if (state.queue.size() === 0) state.virtualTime = Math.max(state.virtualTime, virtualTime);
    if (queued === 0 && mayDispatchNow) {
      state.queue.charge(waiting);
      waiting.settle(ok(createPermit(waiting, dispatch)));
      return;
    }
    state.queue.push(waiting);
    queued += 1;
    dispatch();
  };

  const cancelQueued = (waiting: QueuedRequest) => {
    if (!states.get(waiting.requestClass)!.queue.remove(waiting)) return;
    queued -= 1;
    waiting.settle(err(refuse('the caller has gone', STATUS_CALLER_GONE, 0)));
    armTimer(dispatch);
  };

  // Closures created for each request are not bound to a name: with the TypeScript loader, naming
  // one costs about as much as the rest of `acquire`.
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
    const waiting: QueuedRequest = {
      requestClass,
      customer,
      share,
      deadlineAt,
      arrivedAt: now,
      // Bounded, so that deadlines shorter than the usual service time are not all refused.
      expectedMs: Math.min(times.expectedMs(requestClass), budgetMs / 2),
      settle: (outcome) => {
        handle.isSettled = true;
        if (handle.onAbort !== undefined) signal.removeEventListener('abort', handle.onAbort);
        resolve(outcome);
      },
    };
    dispatchOrEnqueue(waiting);
    if (handle.isSettled) return;
    Object.assign(handle, { onAbort: () => cancelQueued(waiting) });
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
