import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { AnswerSink } from '../forward/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import type { InstancePort } from './instance_port.ts';
import type { AttemptOutcome, GatewayRequest } from './request.ts';
import type { SlotQueue } from './slot_queue.ts';

/** What the node knows of the instance on its host. */
export interface LocalInstance {
  readonly instance: string;
  readonly service: string;
  readonly state: 'ready' | 'silent' | 'draining' | 'down';
  /** Monotonic time in ms after which a leaving instance gets no new requests. */
  readonly closesAt: number;
  readonly port: InstancePort;
}

/** Decides whether the instance may run requests for a key. */
export interface KeyGuard {
  readonly mayServe: (key: number) => boolean;
  /** Time in ms until the instance is expected to get grants again. */
  readonly retryAfterMs: () => number;
  readonly record: (key: number) => void;
}

/** Runs requests at the instance on this host. */
export interface LocalService {
  readonly handle: (request: GatewayRequest, sink: AnswerSink) => Promise<AttemptOutcome>;
  readonly load: () => AdmissionLoad;
}

/** Options of the service. */
export interface LocalServiceOptions {
  readonly clock: Clock;
  readonly instance: () => LocalInstance | undefined;
  readonly keys: KeyGuard;
  readonly queue: SlotQueue;
  /** Told the time in ms that a request waited for a slot. */
  readonly onQueued?: (queuedMs: number) => void;
}

/** An instance that ended comes back after some seconds, or others take its place. */
const DOWN_RETRY_AFTER_MS = 400;
const MOVED_RETRY_AFTER_MS = 50;

/**
 * Creates the service. A request is checked again after its wait for a slot, because the instance
 * may have left or lost the key meanwhile.
 *
 * @param options Clock, instance, key guard and queue.
 * @returns The service.
 *
 * @example
 * const outcome = await local.handle(request, sink);
 */
export const createLocalService = (options: LocalServiceOptions): LocalService => {
  const { clock, keys, queue } = options;

  const check = (request: GatewayRequest, current: LocalInstance | undefined) => {
    const step = 'local.check';
    if (current === undefined || current.state === 'down') {
      return refuseNotRun('the instance is down', DOWN_RETRY_AFTER_MS, { step });
    }
    const place = { step, peer: current.instance };
    if (current.service !== request.service) {
      return refuseNotRun('the instance is of another service', MOVED_RETRY_AFTER_MS, place);
    }
    if (clock.now() >= current.closesAt) {
      return refuseNotRun('the instance is leaving', MOVED_RETRY_AFTER_MS, place);
    }
    if (request.key !== undefined && !keys.mayServe(request.key)) {
      return refuseNotRun('the instance does not hold the key', keys.retryAfterMs(), place);
    }
    return undefined;
  };

  const handle: LocalService['handle'] = async (request, sink) => {
    const refusedBefore = check(request, options.instance());
    if (refusedBefore !== undefined) return refusedBefore;
    // Load decides about moves, and a caller that returns would count as several.
    if (request.key !== undefined && !request.hasReturned) keys.record(request.key);
    const permit = await queue.acquire({
      priority: request.priority,
      workClass: request.workClass,
      deadlineAt: request.deadlineAt,
      targetAt: request.targetAt,
      signal: request.signal,
    });
    if (permit.isErr()) return { kind: 'refused', refusal: permit.error, reached: false };
    options.onQueued?.(permit.value.queuedMs);
    const current = options.instance();
    const refusedAfter = check(request, current);
    if (refusedAfter !== undefined || current === undefined) {
      permit.value.release(false);
      return refusedAfter ?? refuseNotRun('the instance is down', DOWN_RETRY_AFTER_MS, {
        step: 'local.check',
      });
    }
    const outcome = await current.port.send(request, sink);
    permit.value.release(outcome.kind === 'answered' && outcome.status < 500);
    return outcome;
  };

  return { handle, load: queue.load };
};
