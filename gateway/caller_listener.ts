import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestOrigin } from '../admission/mod.ts';
import type { PublishedRoute } from '../contract/mod.ts';
import {
  createBulkSink, createCountedSink, createHttpServer, createResponseBuffer, createResponseSink,
  type HttpListener, type HttpServerOptions, isHalfOpen, renderMalformed, resetConnection,
} from '../http/mod.ts';
import { createCallerRefusals } from './_caller_refusals.ts';
import { createCallerRequestReader, findTimeout } from './_caller_request.ts';
import {
  abortOnClose, createFirstRequestCheck, createRoomCheck, firstHeaderValue, respondToError,
  sendContinueIfExpected,
} from './_http_messages.ts';
import {
  MAX_BODY_BYTES, MAX_BUFFERED_BYTES, MAX_HEADER_BYTES, MAX_KEPT_BODY_BYTES,
} from './_limits.ts';
import { createListenerEnds } from './_listener_ends.ts';
import { readBody } from './_read_body.ts';
import { describeUnknown } from './_log_fields.ts';
import { respondWithOutcome } from './_outcome_response.ts';
import { refuseBody, refuseForHeap, refuseSaturated } from './_refusals.ts';
import { findOrigin } from './_request_origin.ts';
import { createBodyBudget } from './body_budget.ts';
import type { CallerListenerOptions } from './caller_listener_options.ts';
import { failureReason, isBulk } from './request.ts';

/** Requests in transit on open connections still get a response in this time. */
const IDLE_GRACE_MS = 40;
const NO_CONTRACT_RETRY_AFTER_S = '0.5';
const STATUS_NOT_FOUND = 404;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_TOO_LARGE = 413;

/**
 * Creates the listener for the callers of this host.
 *
 * @param options Clock, address, header names, routes, request sender and logger.
 * @returns The listener, not yet listening.
 *
 * @example
 * const listener = createCallerListener(options);
 * await listener.listen();
 */
export const createCallerListener = (options: CallerListenerOptions): HttpListener => {
  const { clock, headers: headerNames, link } = options;
  const logger = options.logger.forComponent('caller');
  const responseBuffer = createResponseBuffer(MAX_BUFFERED_BYTES);
  const bodies = options.bodies ?? createBodyBudget(MAX_KEPT_BODY_BYTES);
  const isFirstRequest = createFirstRequestCheck();

  const isStopping = () => options.shutdown.phase() !== 'running';

  const toRequest = createCallerRequestReader(options);

  const { respond, refuseWhileStopping, refuseAtOnce } = createCallerRefusals(options, logger);

  const serve = async (
    message: IncomingMessage,
    response: ServerResponse,
    route: PublishedRoute,
    arrivedAt: number,
    origin: RequestOrigin,
    progress: { isForwarded: boolean },
  ) => {
    const isNestedCall = origin === 'call';
    const request = toRequest(message, route, arrivedAt, isNestedCall, abortOnClose(response));
    if (request === undefined) {
      const text = '{"error":"the route has no service"}';
      respond(response, STATUS_UNAVAILABLE, [], text);
      return;
    }
    const early = options.sender.refuseEarly(request);
    if (early !== undefined) {
      refuseAtOnce(request.requestId, route, response, early);
      return;
    }
    const reservation = bodies.open();
    response.once('close', reservation.release);
    const body = await readBody(message, {
      clock, maxBytes: MAX_BODY_BYTES, deadlineAt: request.deadlineAt, reservation,
    });
    if (body === 'no room') {
      response.shouldKeepAlive = false;
      refuseAtOnce(request.requestId, route, response, refuseBody());
      return;
    }
    if (body === undefined || typeof body === 'string') {
      response.shouldKeepAlive = false;
      const [status, text] = body === 'late'
        ? [STATUS_REQUEST_TIMEOUT, '{"error":"the body is late","outcome":"not run"}']
        : [STATUS_TOO_LARGE, '{"error":"the body is too large"}'];
      respond(response, status, [], text);
      return;
    }
    const bodyReadAt = clock.now();
    const isFirst = isFirstRequest(message);
    const decision = await options.dispatch.wait({
      ...request,
      isFromPeer: false,
      isFirstOnConnection: isFirst,
      isGone: () => request.signal.aborted,
    });
    options.eventLoop?.record(clock.now() - bodyReadAt, decision === 'gone', isFirst);
    if (decision === 'gone') return;
    if (options.shutdown.phase() === 'closed') {
      refuseWhileStopping(request.requestId, route, response);
      return;
    }
    const readMs = clock.now() - arrivedAt;
    const sink = isBulk(route.kind)
      ? createBulkSink(response, () => undefined, link)
      : createCountedSink(createResponseSink(response, () => undefined, responseBuffer), link);
    Object.assign(progress, { isForwarded: true });
    const outcome = decision === 'forward'
      ? await options.sender.send(
        { ...request, body, isAdmitted: request.key !== undefined },
        route.maxAttempts,
        sink,
      )
      : refuseSaturated();
    const isCut = outcome.kind === 'truncated' && response.headersSent;
    if (isCut) resetConnection(response);
    else {
      const idHeader = [headerNames.requestId, request.requestId];
      respondWithOutcome(response, outcome, idHeader, options.random);
    }
    const durationMs = clock.now() - arrivedAt;
    const isDisconnected = request.signal.aborted;
    const refusal = outcome.kind === 'refused' ? outcome.refusal : undefined;
    options.onRequestEnd?.({
      route: route.name,
      kind: route.kind,
      outcome: isDisconnected ? 'gone' : outcome.kind,
      reason: refusal?.step ?? '',
      unknown: describeUnknown(refusal),
      durationMs,
      origin,
    });
    const fields = {
      request: request.requestId,
      route: route.name,
      service: request.service,
      revision: options.routes()?.revision,
      outcome: isDisconnected ? 'gone' : outcome.kind,
      origin,
      durationMs: Math.round(durationMs),
      readMs: Math.round(readMs),
      leftMs: firstHeaderValue(message, headerNames.remainingMs),
      toTargetMs: Math.round(request.latencyTargetAt - arrivedAt),
      ...(isHalfOpen(message.socket) ? { halfOpen: true } : {}),
    };
    if (outcome.kind === 'answered') {
      logger.info({ ...fields, status: outcome.status }, 'answered');
      return;
    }
    logger.warn({
      ...fields,
      status: refusal?.status,
      notRun: refusal?.outcome === 'not run',
      retryAfterSeconds: refusal?.retryAfterSeconds,
      reason: failureReason(outcome),
    }, isCut && !isDisconnected
      ? 'ended without an answer'
      : 'not answered');
  };

  const findRoute = ({ headers, url = '/' }: IncomingMessage) => (
    options.routes()?.match(headers.host ?? '', url)
  );

  const refuseWithoutRoom = (message: IncomingMessage, response: ServerResponse) => {
    response.shouldKeepAlive = false;
    const requestId = firstHeaderValue(message, headerNames.requestId);
    refuseAtOnce(requestId, findRoute(message), response, refuseForHeap());
  };

  const handle: HttpServerOptions['handle'] = (message, response, expect, arrivedAt) => {
    const table = options.routes();
    const requestId = firstHeaderValue(message, headerNames.requestId);
    if (table === undefined) {
      const fields = { request: requestId, notRun: true };
      logger.warn(fields, 'request refused: no contract is known yet');
      const text = '{"error":"no contract is known yet","outcome":"not run"}';
      const retryAfter = ['retry-after', NO_CONTRACT_RETRY_AFTER_S];
      respond(response, STATUS_UNAVAILABLE, retryAfter, text);
      return;
    }
    const route = findRoute(message);
    if (route === undefined) {
      logger.warn({
        request: requestId,
        revision: table.revision,
        host: message.headers.host,
        path: message.url,
      }, 'no route matches the request');
      respond(response, STATUS_NOT_FOUND, [], '{"error":"no route matches"}');
      return;
    }
    const deadlineAt = arrivedAt + findTimeout(message, headerNames, route);
    const { origin, isProvenCall } = findOrigin(
      options.callDetector,
      message,
      response,
      route.name,
      deadlineAt,
    );
    if (!options.shutdown.mayAccept(deadlineAt, isProvenCall)) {
      refuseWhileStopping(requestId, route, response);
      return;
    }
    const isTimely = options.dispatch.isTimely({
      priority: route.priority,
      isNestedCall: origin === 'call',
      isFromPeer: false,
      deadlineAt,
      latencyTargetAt: arrivedAt + route.targetLatencyMs,
    });
    if (!isTimely) {
      refuseAtOnce(requestId, route, response, refuseSaturated());
      return;
    }
    if (options.heap?.mayAccept() === false) {
      refuseWithoutRoom(message, response);
      return;
    }
    response.once('close', options.shutdown.trackRequest(deadlineAt));
    sendContinueIfExpected(expect, response);
    const progress = { isForwarded: false };
    serve(message, response, route, arrivedAt, origin, progress).catch((error: unknown) => {
      const isCut = response.headersSent && !response.writableEnded;
      logger.error({
        request: requestId, route: route.name, reason: String(error),
      }, isCut ? 'ended without an answer' : 'failed to handle request');
      const idHeader = [headerNames.requestId, requestId ?? ''];
      const [status, result] = progress.isForwarded
        ? [STATUS_BAD_GATEWAY, 'unknown'] : [STATUS_UNAVAILABLE, 'not run'];
      const text = `{"error":"the request could not be handled","outcome":"${result}"}`;
      respondToError(clock, response, status, idHeader, text);
    });
  };

  return createHttpServer({
    ...createListenerEnds('caller', {
      ends: options.ends, logger, requestIdHeader: headerNames.requestId,
    }),
    clock,
    address: options.address,
    maxHeaderBytes: MAX_HEADER_BYTES,
    idleGraceMs: IDLE_GRACE_MS,
    handle,
    hasRoom: createRoomCheck(options.heap, headerNames.requestId),
    refuseWithoutRoom,
    // The calls of a run are proven by their connection until the run ends.
    mayEndAfter: ({ socket }) => (
      isStopping() && options.callDetector?.isCallConnection(socket) !== true
    ),
    // A planned stop must not lose an answer; any other end must not keep instances at work for
    // clients that have left.
    keepsHalfOpen: options.shutdown.keepsHalfOpen,
    onDiscard: (messages) => {
      const requests = messages.map((message) => firstHeaderValue(message, headerNames.requestId));
      logger.info({ requests, notRun: true }, 'requests discarded: their connection has ended');
    },
    renderMalformed,
  });
};
