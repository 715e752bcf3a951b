import type { ServerResponse } from 'node:http';
import type { PublishedRoute } from '../contract/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  formatRefusal, formatRetryAfter, releaseHead, respondBeforeBody,
} from './_http_messages.ts';
import type { CallerListenerOptions } from './caller_listener_options.ts';
import type { AttemptOutcome } from './request.ts';

/** Approximate time until a restarted node accepts requests. */
const STOPPING_RETRY_AFTER_S = '0.6';
const STATUS_UNAVAILABLE = 503;

/**
 * Creates the functions that respond to requests of callers without passing them on.
 *
 * @param options Options of the listener.
 * @param logger Logger of the listener.
 * @returns The functions.
 *
 * @example
 * const { refuseAtOnce } = createCallerRefusals(options, logger);
 * refuseAtOnce(requestId, route, response, refuseSaturated());
 */
export const createCallerRefusals = (
  {
    clock, headers: headerNames, random, onRequestEnd,
  }: CallerListenerOptions,
  logger: Logger,
) => {
  /** Responds to a request whose head is not used any more. */
  const respond = (
    response: ServerResponse,
    status: number,
    headers: readonly string[],
    text: string,
  ) => {
    respondBeforeBody(clock, response, status, headers, text);
    releaseHead(response.req, headerNames.requestId);
  };

  const refuseWhileStopping = (
    requestId: string | undefined,
    route: PublishedRoute,
    response: ServerResponse,
  ) => {
    const text = '{"error":"the node stops","outcome":"not run"}';
    respond(response, STATUS_UNAVAILABLE, ['retry-after', STOPPING_RETRY_AFTER_S], text);
    logger.info({
      request: requestId, route: route.name, notRun: true,
    }, 'request refused: the node is stopping');
  };

  /** Refuses a request before its body is read, which costs less than to queue it. */
  const refuseAtOnce = (
    requestId: string | undefined,
    route: PublishedRoute | undefined,
    response: ServerResponse,
    { refusal }: Extract<AttemptOutcome, { kind: 'refused' }>,
  ) => {
    const headers = [
      headerNames.requestId, requestId ?? '', ...formatRetryAfter(refusal, random),
    ];
    respond(response, refusal.status, headers, formatRefusal(refusal));
    if (route !== undefined) {
      const { name, kind } = route;
      onRequestEnd?.({
        route: name, kind, outcome: 'refused', reason: refusal.step, durationMs: 0,
      });
    }
    logger.warn({
      request: requestId, route: route?.name, notRun: true, step: refusal.step, peer: refusal.peer,
    }, `request refused: ${refusal.reason}`);
  };

  return { respond, refuseWhileStopping, refuseAtOnce };
};
