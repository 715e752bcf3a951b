import type { Clock } from '../clock/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import type { RequestSender } from './request_sender.ts';

/** Options of an entrance. */
export interface EntranceOptions {
  readonly clock: Clock;
  /** Sends what the entrance lets pass. */
  readonly sender: RequestSender;
}

/**
 * Time in ms in which no response can come back over a hop. A request that has spent its time in
 * queues of this node is refused as not run; once sent, nothing would tell whether it ran.
 */
const MIN_HOP_MS = 20;
const EXPIRED_RETRY_AFTER_MS = 100;

/**
 * Creates the entrance of a node, through which all requests of the caller listener pass.
 *
 * @param options Clock and the sender behind the entrance.
 * @returns A sender.
 *
 * @example
 * const sender = createEntrance({ clock, sender: createRequestSender(options) });
 */
export const createEntrance = ({ clock, sender }: EntranceOptions): RequestSender => ({
  refuseEarly: sender.refuseEarly,
  send: async (request, maxSends, sink) => {
    if (request.deadlineAt - clock.now() < MIN_HOP_MS) {
      const reason = 'the deadline passed before the request was sent';
      return refuseNotRun(reason, EXPIRED_RETRY_AFTER_MS, { step: 'entrance.deadline' });
    }
    return sender.send(request, maxSends, sink);
  },
});
