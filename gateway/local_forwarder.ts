import type { AdmissionLoad, CallDetector, ColdStartLimit } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import type { EgressLink } from '../http/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import type { InstanceClient } from './instance_client.ts';
import { hasEnded, isRefusedByInstance, mayHaveRun } from './_attempt_outcomes.ts';
import type { DemandMeter, DemandRequest } from './demand_meter.ts';
import { type AttemptOutcome, type GatewayRequest, isBulk } from './request.ts';
import type { SlotQueue } from './slot_queue.ts';

/** State of the instance on this host. */
export interface LocalInstance {
  readonly instance: string;
  readonly service: string;
  readonly state: 'ready' | 'silent' | 'draining' | 'down';
  /** Monotonic time in ms from which a draining instance gets no new requests. */
  readonly acceptsUntil: number;
  readonly client: InstanceClient;
}

/** Tracks which keys the instance holds, and counts the requests for each. */
export interface KeyOwnership {
  /** Returns whether the instance may run requests for the key. */
  readonly mayServe: (key: number) => boolean;
  /** Time in ms until the instance is expected to receive its next key grants. */
  readonly retryAfterMs: () => number;
  /** Counts a request in the load of the key. */
  readonly record: (key: number) => void;
}

/** Forwards requests to the instance on this host. */
export interface LocalForwarder {
  /** `onSilent` is called once if the instance seems never to answer; the request goes on. */
  readonly forward: (
    request: GatewayRequest,
    sink: ResponseSink,
    onSilent?: () => void,
  ) => Promise<AttemptOutcome>;
  /** Counts a request that this node refused for want of processor time. */
  readonly recordRefusal: (request: DemandRequest) => void;
  /** Returns the current load of the instance. */
  readonly load: () => AdmissionLoad;
}

/** Options of the local forwarder. */
export interface LocalForwarderOptions {
  readonly clock: Clock;
  readonly instance: () => LocalInstance | undefined;
  readonly keys: KeyOwnership;
  readonly queue: SlotQueue;
  readonly demand: DemandMeter;
  /** Limit of the requests to a cold instance; by default, there is none. */
  readonly coldStart?: ColdStartLimit;
  /** Link of this host, over which responses are sent. */
  readonly link: Pick<EgressLink, 'bulkDelayMs' | 'expectBulk'>;
  /** Returns why the instance must not get a request with or without a key, if it must not. */
  readonly findObjection?: (hasKey: boolean) => string | undefined;
  /** Time in ms for which the instance is at work on a request that its caller has left. */
  readonly leftWorkMs?: (workClass: string, ranMs: number) => number;
  /** Called at the start of a run; returns the function to call at its end. */
  readonly startRun?: CallDetector['startRun'];
  /** Returns which fraction of the nested calls of the instance finds no room. */
  readonly callFailures?: () => number;
  /** Called with the time in ms that an admitted request waited for a slot. */
  readonly onQueued?: (queuedMs: number) => void;
  /** Called when the limit of a cold instance refuses a request. */
  readonly onColdRefusal?: (when: 'on arrival' | 'after the wait') => void;
  /** Called with the kind of the route and the time in ms from the start to the end of a run. */
  readonly onRun?: (kind: string, runMs: number) => void;
}

/** A stopped instance restarts after some seconds, or other instances take over. */
const DOWN_RETRY_AFTER_MS = 400;
const MOVED_RETRY_AFTER_MS = 50;
/** A failure domain that is being evacuated hands its keys over within about 2 s. */
const EVACUATED_RETRY_AFTER_MS = 400;
/** An instance that refuses nearly everything needs seconds to recover. */
const REFUSING_RETRY_AFTER_MS = 300;

/**
 * Creates the local destination of requests. A request is checked again after its wait for a slot,
 * because the instance may have started to drain or lost the key, or its failure domain may have
 * been evacuated meanwhile.
 *
 * @param options Clock, instance, key ownership and slot queue.
 * @returns The local destination.
 *
 * @example
 * const outcome = await local.forward(request, sink);
 */
export const createLocalForwarder = (options: LocalForwarderOptions): LocalForwarder => {
  const {
    clock, keys, queue, link, demand, coldStart,
  } = options;

  const checkServable = (request: GatewayRequest, current: LocalInstance | undefined) => {
    const step = 'local.check';
    if (current === undefined || current.state === 'down') {
      return refuseNotRun('the instance is down', DOWN_RETRY_AFTER_MS, { step });
    }
    const context = { step, peer: current.instance };
    const objection = options.findObjection?.(request.key !== undefined);
    if (objection !== undefined) {
      return refuseNotRun(objection, EVACUATED_RETRY_AFTER_MS, {
        ...context, step: 'local.evacuated',
      });
    }
    if (current.service !== request.service) {
      return refuseNotRun('the instance is of another service', MOVED_RETRY_AFTER_MS, context);
    }
    if (clock.now() >= current.acceptsUntil) {
      return refuseNotRun('the instance is leaving', MOVED_RETRY_AFTER_MS, context);
    }
    if (request.key !== undefined && !keys.mayServe(request.key)) {
      return refuseNotRun('the instance does not hold the key', keys.retryAfterMs(), context);
    }
    return undefined;
  };

  const refuseCold = (
    when: 'on arrival' | 'after the wait',
    retryAfterMs: number,
    peer: string | undefined,
  ) => {
    options.onColdRefusal?.(when);
    return refuseNotRun(`the instance is cold and has no room ${when}`, retryAfterMs, {
      step: 'admission.cold', peer: peer ?? '',
    });
  };

  const runInSlot = async (
    request: GatewayRequest,
    sendMs: number | undefined,
    sink: ResponseSink,
    onSilent: () => void,
  ): Promise<AttemptOutcome> => {
    const refusedBefore = checkServable(request, options.instance());
    if (refusedBefore !== undefined) return refusedBefore;
    // The key load drives rebalancing, and retries of one caller would be counted several times.
    if (request.key !== undefined && !request.isCallerRetry) keys.record(request.key);
    const recordEnd = demand.open(request);
    const isNested = request.isNestedCall === true;
    const coldRetryMs = coldStart?.refuseEarly(isNested, queue.queued());
    if (coldRetryMs !== undefined) {
      recordEnd(false);
      return refuseCold('on arrival', coldRetryMs, options.instance()?.instance);
    }
    const permit = await queue.acquire({
      sendMs,
      priority: request.priority,
      isNestedCall: request.isNestedCall,
      workClass: request.workClass,
      deadlineAt: request.deadlineAt,
      latencyTargetAt: request.latencyTargetAt,
      signal: request.signal,
    });
    if (permit.isErr()) {
      if (!request.signal.aborted) recordEnd(false);
      return { kind: 'refused', refusal: permit.error, reachedInstance: false };
    }
    const { queuedMs } = permit.value;
    options.onQueued?.(queuedMs);
    const current = options.instance();
    const refusedAfter = checkServable(request, current);
    if (refusedAfter !== undefined || current === undefined) {
      permit.value.release(false);
      return refusedAfter ?? refuseNotRun('the instance is down', DOWN_RETRY_AFTER_MS, {
        step: 'local.check',
      });
    }
    if (!demand.admit()) {
      permit.value.release(false);
      recordEnd(false);
      return refuseNotRun('the instance refuses most requests', REFUSING_RETRY_AFTER_MS, {
        step: 'local.admit', peer: current.instance,
      });
    }
    const room = coldStart?.reserve(isNested);
    if (room?.isErr()) {
      permit.value.release(false);
      recordEnd(false);
      return refuseCold('after the wait', room.error, current.instance);
    }
    const place = room?.unwrapOr(undefined);
    const startedAt = clock.now();
    const endRun = options.startRun?.(
      request.deadlineAt,
      request.isFromPeer === true ? 'peer' : 'host',
    );
    let isSample = false;
    let freeSlotAfterMs = 0;
    let isComplete = false;
    let isSilent = false;
    let outcome: AttemptOutcome;
    try {
      outcome = await current.client.send(request, sink, {
        onSent: place?.markSent,
        onSilent: () => {
          isSilent = true;
          onSilent();
        },
      });
      isSample = outcome.kind === 'answered' && outcome.status < 500;
      isComplete = hasEnded(outcome);
      // The instance may be at work until the deadline, which the request has told it.
      const untilDeadlineMs = request.deadlineAt - clock.now();
      if (request.signal.aborted && mayHaveRun(outcome)) {
        const leftMs = isSilent
          ? untilDeadlineMs
          : options.leftWorkMs?.(request.workClass, clock.now() - startedAt) ?? 0;
        freeSlotAfterMs = Math.min(leftMs, untilDeadlineMs);
      }
    } finally {
      place?.release();
      endRun?.(isComplete, isSample);
      if (freeSlotAfterMs > 0) clock.schedule(freeSlotAfterMs, () => permit.value.release(false));
      else permit.value.release(isSample);
    }
    const isRefused = isRefusedByInstance(outcome);
    demand.recordInstance(!isRefused);
    recordEnd(!isRefused);
    const runMs = clock.now() - startedAt;
    options.onRun?.(request.kind, runMs);
    return outcome.kind === 'answered' ? { ...outcome, timing: { queuedMs, runMs } } : outcome;
  };

  const forward: LocalForwarder['forward'] = async (
    request,
    sink,
    onSilent = () => undefined,
  ) => {
    if (!isBulk(request.kind)) return runInSlot(request, undefined, sink, onSilent);
    const sendMs = link.bulkDelayMs();
    const endExpectation = link.expectBulk();
    try {
      return await runInSlot(request, sendMs, sink, onSilent);
    } finally {
      endExpectation();
    }
  };

  return {
    forward,
    recordRefusal: (request) => demand.open(request)(false),
    load: () => {
      const load = queue.load();
      return {
        ...load,
        serviceRate: coldStart?.capRate(load.serviceRate) ?? load.serviceRate,
        excess: { ...demand.excess(), callFailures: options.callFailures?.() ?? 0 },
      };
    },
  };
};
