import type { CallFailures, EntranceGate } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { isWithoutRoom } from './_attempt_outcomes.ts';
import { refuseNotRun } from './_refusals.ts';
import { spreadRetryMs } from './_retry_time.ts';
import { stableDraw } from './_stable_draw.ts';
import type { GatewayRequest } from './request.ts';
import type { RequestSender } from './request_sender.ts';

/** Options of an entrance. */
export interface EntranceOptions {
  readonly clock: Clock;
  /** Sends what the entrance lets pass. */
  readonly sender: RequestSender;
  readonly gate: EntranceGate;
  /** Counts the nested calls of the instance of this host. */
  readonly callFailures?: Pick<CallFailures, 'record'>;
}

/**
 * Time in ms in which no response can come back over a hop. A request that has spent its time in
 * queues of this node is refused as not run; once sent, nothing would tell whether it ran.
 */
const MIN_HOP_MS = 20;
const EXPIRED_RETRY_AFTER_MS = 100;

/** The owner of a key is one instance, for which the throttle of the sender decides. */
const isGated = ({ key, isNestedCall = false }: Omit<GatewayRequest, 'body'>) => (
  key === undefined && !isNestedCall
);

/**
 * Creates the entrance of a node, through which all requests of the caller listener pass. Nested
 * calls are always sent: the run that makes them holds a slot.
 *
 * @param options Clock, gate and the sender behind the entrance.
 * @returns A sender.
 *
 * @example
 * const sender = createEntrance({ clock, gate, sender: createRequestSender(options) });
 */
export const createEntrance = ({
  clock, sender, gate, callFailures,
}: EntranceOptions): RequestSender => ({
  refuseEarly: (request) => {
    if (!isGated(request)) return sender.refuseEarly(request);
    const now = clock.now();
    const isAdmitted = gate.admit({
      service: request.service,
      rank: request.priority,
      isLate: request.latencyTargetAt <= now,
      draw: stableDraw(request.deadlineAt, now),
    });
    if (isAdmitted) return undefined;
    const retryAfterMs = spreadRetryMs(request.deadlineAt, now);
    return refuseNotRun('the service has no room', retryAfterMs, { step: 'entrance.gate' });
  },
  send: async (request, maxSends, sink) => {
    if (request.deadlineAt - clock.now() < MIN_HOP_MS) {
      // The run that made the call waited for room until its end.
      if (request.isNestedCall === true) callFailures?.record(true);
      const reason = 'the deadline passed before the request was sent';
      return refuseNotRun(reason, EXPIRED_RETRY_AFTER_MS, { step: 'entrance.deadline' });
    }
    const outcome = await sender.send(request, maxSends, sink);
    const isRefused = isWithoutRoom(outcome);
    if (isGated(request) && isRefused) gate.recordRefused(request.service);
    if (request.isNestedCall === true) callFailures?.record(isRefused);
    return outcome;
  },
});
