import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RefusalError } from '../errors/mod.ts';
import {
  endToEndHeaders, hopHeaders, loadHeaders, encodeRefusal, type ResponseSink,
} from '../forward/mod.ts';
import {
  createBulkSink, createCountedSink, createHttpServer, createResponseBuffer, createResponseSink,
  hasBody, type HttpListener, type HttpServerOptions, renderMalformed,
  resetConnection,
} from '../http/mod.ts';
import {
  abortOnClose, createFirstRequestCheck, createRoomCheck, firstHeaderValue, releaseHead,
  respondBeforeBody, respondToError,
} from './_http_messages.ts';
import { flushErrorHeads } from './_error_heads.ts';
import { HOP_HEADER, parseHop } from './_hop_header.ts';
import {
  MAX_BODY_BYTES, MAX_BUFFERED_BYTES, MAX_HEADER_BYTES, MAX_KEPT_BODY_BYTES,
} from './_limits.ts';
import { startInterimResponses } from './_interim_responses.ts';
import { createListenerEnds } from './_listener_ends.ts';
import {
  refuseWhileStopping, renderStopRefusal, STOPPING_RETRY_AFTER_MS,
} from './_stop_refusals.ts';
import { readBody } from './_read_body.ts';
import {
  refuseBody, refuseForHeap, refuseNotRun, refuseSaturated, refuseUnknown,
} from './_refusals.ts';
import { createBodyBudget } from './body_budget.ts';
import { refusalFields, timingFields } from './_log_fields.ts';
import type { PeerListenerOptions } from './peer_listener_options.ts';
import { type AttemptOutcome, type GatewayRequest, isBulk } from './request.ts';

/** Requests in transit on open connections still get a response in this time. */
const IDLE_GRACE_MS = 40;
/** Path prefix of control messages; forwarded requests always carry a hop header. */
const CONTROL_PREFIX = '/marjoramhollow/';
const BODY_RETRY_AFTER_MS = 150;
const STATUS_BAD_REQUEST = 400;
const STATUS_OK = 200;

type RequestHead = Omit<GatewayRequest, 'body'>;

const isControl = ({ url, headers }: IncomingMessage) => (
  url?.startsWith(CONTROL_PREFIX) === true && headers[HOP_HEADER] === undefined
);

/**
 * Creates the listener for requests that other nodes forward, and for their control messages.
 *
 * @param options Clock, address, local destination, control message handler and logger.
 * @returns The listener, not yet listening.
 *
 * @example
 * const listener = createPeerListener(options);
 * await listener.listen();
 */
export const createPeerListener = (options: PeerListenerOptions): HttpListener => {
  const { clock, local, link } = options;
  const logger = options.logger.forComponent('peer');
  const responseBuffer = createResponseBuffer(MAX_BUFFERED_BYTES);
  const bodies = options.bodies ?? createBodyBudget(MAX_KEPT_BODY_BYTES);
  const isFirstRequest = createFirstRequestCheck();

  const isAccepting = () => {
    const phase = options.shutdown.phase();
    return phase === 'running' || phase === 'leaving';
  };

  /** Responds to a request whose head is not used any more. */
  const respond = (response: ServerResponse, status: number, headers: readonly string[]) => {
    respondBeforeBody(clock, response, status, headers, '');
    releaseHead(response.req, options.requestIdHeader);
  };

  const toRequest = (
    message: IncomingMessage,
    arrivedAt: number,
    signal: AbortSignal,
  ): RequestHead | undefined => {
    const hop = parseHop(firstHeaderValue(message, HOP_HEADER));
    if (hop === undefined) return undefined;
    const { remainingMs, latencyTargetMs, ...fields } = hop;
    return {
      ...fields,
      isFromPeer: true,
      requestId: firstHeaderValue(message, options.requestIdHeader) ?? '',
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      headers: endToEndHeaders(message.rawHeaders),
      deadlineAt: Math.min(arrivedAt + remainingMs, options.shutdown.answerBy()),
      latencyTargetAt: arrivedAt + latencyTargetMs,
      signal,
    };
  };

  /** Refuses a request whose body is not read; its connection ends, which frees its memory. */
  const refuseUnread = (
    message: IncomingMessage,
    response: ServerResponse,
    refusal: RefusalError,
  ) => {
    const requestId = firstHeaderValue(message, options.requestIdHeader) ?? '';
    logger.warn({
      request: requestId, notRun: true, reason: refusal.message,
    }, 'refused request from peer');
    response.shouldKeepAlive = false;
    const headers = [...encodeRefusal(refusal), options.requestIdHeader, requestId];
    respond(response, refusal.status, headers);
  };

  const refuseWithoutRoom = (message: IncomingMessage, response: ServerResponse) => (
    refuseUnread(message, response, refuseForHeap().refusal)
  );
  const hasRoom = createRoomCheck(options.heap, options.requestIdHeader);

  const forwardOrRefuse = async (
    request: GatewayRequest,
    sink: ResponseSink,
    onSilent: () => void,
  ): Promise<AttemptOutcome> => (
    isAccepting() ? local.forward(request, sink, onSilent) : refuseWhileStopping()
  );

  const describe = (
    { socket }: IncomingMessage,
    arrivedAt: number,
    { requestId, service, key }: RequestHead,
    { kind }: AttemptOutcome,
  ) => ({
    request: requestId,
    service,
    key,
    outcome: kind,
    from: socket.remoteAddress,
    durationMs: Math.round(clock.now() - arrivedAt),
    unsentBytes: responseBuffer.unsentBytes() + link.backlogBytes(),
  });

  const refuse = (
    message: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
    request: RequestHead,
    outcome: Extract<AttemptOutcome, { kind: 'refused' }>,
  ) => {
    const { refusal, reachedInstance } = outcome;
    const fromDomain = options.failureDomainOf?.(message.socket.remoteAddress ?? '') ?? '';
    options.onRefusal?.(refusal.step, fromDomain);
    logger.warn({
      ...describe(message, arrivedAt, request, outcome),
      fromDomain,
      notRun: refusal.outcome === 'not run',
      reason: refusal.message,
      ...refusalFields(outcome),
    }, 'refused request from peer');
    // Only the head of an error was sent before its instance failed.
    if (response.headersSent) resetConnection(response);
    respond(response, refusal.status, [
      ...encodeRefusal(refusal),
      options.requestIdHeader, request.requestId,
      ...loadHeaders(local.load(), clock.now() - arrivedAt),
      ...(reachedInstance ? [hopHeaders.reached, '1'] : []),
      ...(isAccepting() ? [] : [hopHeaders.stopping, '1']),
    ]);
  };

  const serve = async (
    message: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
  ) => {
    const request = toRequest(message, arrivedAt, abortOnClose(response));
    const nameRequest = [
      options.requestIdHeader, firstHeaderValue(message, options.requestIdHeader) ?? '',
    ];
    if (request === undefined) {
      // A peer of another version may use another header format; its callers may retry.
      const { refusal } = refuseNotRun('the hop header cannot be read', STOPPING_RETRY_AFTER_MS, {
        step: 'peer.receive',
      });
      const from = message.socket.remoteAddress;
      logger.warn({ from, reason: refusal.message }, 'refused request from peer');
      const headers = [...encodeRefusal(refusal), ...nameRequest];
      respond(response, refusal.status, headers);
      return;
    }
    // Not tracked, since a refused request must not delay the end of the requests in flight.
    if (!isAccepting()) {
      refuse(message, response, arrivedAt, request, refuseWhileStopping());
      return;
    }
    response.once('close', options.shutdown.trackRequest(request.deadlineAt));
    const reservation = bodies.open();
    response.once('close', reservation.release);
    const body = await readBody(message, {
      clock, maxBytes: MAX_BODY_BYTES, deadlineAt: request.deadlineAt, reservation,
    });
    if (body === undefined) {
      resetConnection(response);
      return;
    }
    if (typeof body === 'string') {
      const { refusal } = body === 'no room'
        ? refuseBody()
        : refuseNotRun(`the body is ${body}`, BODY_RETRY_AFTER_MS, { step: 'peer.receive' });
      refuseUnread(message, response, refusal);
      return;
    }
    const bodyReadAt = clock.now();
    const isFirst = isFirstRequest(message);
    const decision = await options.dispatch.wait({
      ...request,
      isFromPeer: true,
      isFirstOnConnection: isFirst,
      isGone: () => request.signal.aborted,
    });
    options.eventLoop?.record(clock.now() - bodyReadAt, decision === 'gone', isFirst);
    if (decision === 'gone') return;
    if (decision === 'expired') local.recordRefusal(request);
    const interim = startInterimResponses(clock, response);
    const addLoad = (headers: string[]) => {
      headers.push(...loadHeaders(local.load(), clock.now() - arrivedAt));
    };
    const sink = isBulk(request.kind)
      ? createBulkSink(response, addLoad, link)
      : createCountedSink(createResponseSink(response, addLoad, responseBuffer), link);
    const outcome = decision === 'forward'
      ? await forwardOrRefuse({ ...request, body }, flushErrorHeads(sink), interim.reportSilence)
      : refuseSaturated();
    interim.stop();
    const fields = describe(message, arrivedAt, request, outcome);
    if (outcome.kind === 'answered') {
      logger.info({
        ...fields, status: outcome.status, ...timingFields(outcome),
      }, 'answered request from peer');
      return;
    }
    if (outcome.kind === 'refused') {
      refuse(message, response, arrivedAt, request, outcome);
      return;
    }
    logger.warn({
      ...fields, reason: outcome.kind === 'truncated' ? outcome.error.message : undefined,
    }, 'response to peer was truncated');
    resetConnection(response);
  };

  const handle: HttpServerOptions['handle'] = (message, response, _, arrivedAt) => {
    if (isControl(message)) {
      // Control messages have no body, and the end of one that has may never come.
      if (hasBody(message)) response.shouldKeepAlive = false;
      else message.resume();
      options.handleControlMessage(message.url!.slice(CONTROL_PREFIX.length)).then((text) => {
        const status = text === undefined ? STATUS_BAD_REQUEST : STATUS_OK;
        respondBeforeBody(clock, response, status, [], text ?? '{}');
      }, (error: unknown) => {
        logger.error({
          path: message.url, reason: String(error),
        }, 'failed to handle control message from peer');
        resetConnection(response);
      });
      return;
    }
    if (options.heap?.mayAccept() === false) {
      refuseWithoutRoom(message, response);
      return;
    }
    serve(message, response, arrivedAt).catch((error: unknown) => {
      logger.error({
        request: firstHeaderValue(message, options.requestIdHeader), reason: String(error),
      }, 'failed to handle request from peer');
      const { refusal } = refuseUnknown('the node failed', { step: 'peer.receive' });
      const headers = [...encodeRefusal(refusal), hopHeaders.reached, '1'];
      respondToError(clock, response, refusal.status, headers, '');
    });
  };

  return createHttpServer({
    ...createListenerEnds('peer', {
      ends: options.ends, logger, requestIdHeader: options.requestIdHeader,
    }),
    clock,
    address: options.address,
    maxHeaderBytes: MAX_HEADER_BYTES,
    idleGraceMs: IDLE_GRACE_MS,
    handle,
    hasRoom: (message) => isControl(message) || hasRoom(message),
    refuseWithoutRoom,
    // A new connection for each request would wait to be accepted, one in each turn.
    mayEndAfter: (message) => !isAccepting() && !isControl(message),
    renderMalformed,
    renderFinal: renderStopRefusal,
  });
};
