import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import {
  endToEndHeaders, formatLoad, hopHeaders, refusalHeaders,
} from '../forward/mod.ts';
import {
  createAnswerBuffer, createHttpServer, createResponseSink, type HttpListener, renderMalformed,
  resetConnection,
} from '../http/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  abortOnClose, answerText, headerOf, readPendingEvents,
} from './_answer.ts';
import { HOP_HEADER, parseHop } from './_hop.ts';
import { MAX_BODY_BYTES, MAX_BUFFERED_BYTES, MAX_HEADER_BYTES } from './_limits.ts';
import { readBody } from './_read_body.ts';
import { refuseNotRun } from './_refusals.ts';
import type { LocalService } from './local_service.ts';
import { HOP_SILENCE_MS } from './peer_port.ts';
import type { AttemptOutcome, GatewayRequest } from './request.ts';
import type { StopProgress } from './stop_progress.ts';

/** Options of the listener. */
export interface PeerListenerOptions {
  readonly clock: Clock;
  readonly address: string;
  /** Name of the header with the request's identifier, in lower case. */
  readonly requestIdHeader: string;
  readonly local: LocalService;
  readonly progress: StopProgress;
  readonly logger: Logger;
  /** Answers a control message of a peer; undefined for an unknown path. */
  readonly control: (path: string) => Promise<string | undefined>;
}

/** Peers learn from the directory and from refusals that this node stops. */
const IDLE_GRACE_MS = 1000;
/** Three interim answers within the silence that a peer tolerates. */
const INTERIM_INTERVAL_MS = HOP_SILENCE_MS / 3;
/** Path of control messages; requests of callers always carry a hop header. */
const CONTROL_PREFIX = '/marjoramhollow/';
/** A restarted node takes requests after about this time. */
const STOPPING_RETRY_AFTER_MS = 400;
const STATUS_BAD_REQUEST = 400;
const STATUS_OK = 200;

/**
 * Creates the listener for peers.
 *
 * @param options Clock, address, local service, control messages and logger.
 * @returns The listener.
 *
 * @example
 * const listener = createPeerListener(options);
 * await listener.listen();
 */
export const createPeerListener = (options: PeerListenerOptions): HttpListener => {
  const { clock, local } = options;
  const logger = options.logger.forPart('peer');
  const answers = createAnswerBuffer(MAX_BUFFERED_BYTES);

  const toRequest = (
    message: IncomingMessage,
    signal: AbortSignal,
  ): Omit<GatewayRequest, 'body'> | undefined => {
    const hop = parseHop(headerOf(message, HOP_HEADER));
    if (hop === undefined) return undefined;
    const { remainingMs, targetMs, ...fields } = hop;
    const now = clock.now();
    return {
      ...fields,
      requestId: headerOf(message, options.requestIdHeader) ?? '',
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      headers: endToEndHeaders(message.rawHeaders),
      deadlineAt: now + remainingMs,
      targetAt: now + targetMs,
      signal,
    };
  };

  /** Sends interim answers until the real one begins. */
  const keepAwake = (response: ServerResponse) => {
    let cancel = () => undefined as void;
    const beat = () => {
      if (response.headersSent || response.destroyed) return;
      response.writeProcessing();
      cancel = clock.schedule(INTERIM_INTERVAL_MS, beat);
    };
    cancel = clock.schedule(INTERIM_INTERVAL_MS, beat);
    return () => cancel();
  };

  const serve = async (message: IncomingMessage, response: ServerResponse) => {
    const request = toRequest(message, abortOnClose(response));
    if (request === undefined) {
      // A peer of another version may describe requests in another way; its callers may come back.
      const { refusal } = refuseNotRun('the hop header cannot be read', STOPPING_RETRY_AFTER_MS, {
        step: 'peer.receive',
      });
      const from = message.socket.remoteAddress;
      logger.warn({ from, reason: refusal.message }, 'refused a peer');
      answerText(response, refusal.status, refusalHeaders(refusal), '');
      return;
    }
    const body = await readBody(message, MAX_BODY_BYTES);
    if (body === undefined) {
      resetConnection(response);
      return;
    }
    await readPendingEvents();
    if (request.signal.aborted) return;
    const stop = keepAwake(response);
    const sink = createResponseSink(response, (headers) => {
      headers.push(hopHeaders.load, formatLoad(local.load()));
    }, answers);
    const outcome: AttemptOutcome = options.progress.phase() === 'closing'
      ? refuseNotRun('the node stops', STOPPING_RETRY_AFTER_MS, { step: 'peer.receive' })
      : await local.handle({ ...request, body }, sink);
    stop();
    const fields = {
      request: request.requestId,
      service: request.service,
      key: request.key,
      outcome: outcome.kind,
      from: message.socket.remoteAddress,
    };
    if (outcome.kind === 'answered') {
      logger.info({ ...fields, status: outcome.status }, 'answered a peer');
      return;
    }
    if (outcome.kind === 'refused') {
      const { refusal, reached } = outcome;
      logger.warn({
        ...fields, notRun: refusal.outcome === 'not run', reason: refusal.message,
      }, 'refused a peer');
      answerText(response, refusal.status, [
        ...refusalHeaders(refusal),
        hopHeaders.load, formatLoad(local.load()),
        ...(reached ? [hopHeaders.reached, '1'] : []),
      ], '');
      return;
    }
    logger.warn(fields, 'the answer to a peer broke off');
    resetConnection(response);
  };

  const handle = (message: IncomingMessage, response: ServerResponse) => {
    const isControl = message.url?.startsWith(CONTROL_PREFIX)
      && message.headers[HOP_HEADER] === undefined;
    if (isControl) {
      message.resume();
      options.control(message.url!.slice(CONTROL_PREFIX.length)).then((text) => {
        const status = text === undefined ? STATUS_BAD_REQUEST : STATUS_OK;
        answerText(response, status, [], text ?? '{}');
      }, (error: unknown) => {
        logger.error({ path: message.url, reason: String(error) }, 'failed to answer a peer');
        resetConnection(response);
      });
      return;
    }
    response.once('close', options.progress.begin());
    if (options.progress.phase() !== 'running') response.shouldKeepAlive = false;
    serve(message, response).catch((error: unknown) => {
      logger.error({ reason: String(error) }, 'failed to serve a peer');
      resetConnection(response);
    });
  };

  return createHttpServer({
    clock,
    address: options.address,
    maxHeaderBytes: MAX_HEADER_BYTES,
    idleGraceMs: IDLE_GRACE_MS,
    handle,
    renderMalformed,
  });
};
