import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import type { PublishedRoute } from '../contract/mod.ts';
import type { RefusalError } from '../errors/mod.ts';
import { endToEndHeaders } from '../forward/mod.ts';
import {
  createAnswerBuffer,
  createHttpServer,
  createResponseSink,
  type Expectation,
  type HttpListener,
  renderMalformed,
  resetConnection,
} from '../http/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  abortOnClose, allowBody, answerText, describeRefusal, headerOf, readPendingEvents,
} from './_answer.ts';
import { MAX_BODY_BYTES, MAX_BUFFERED_BYTES, MAX_HEADER_BYTES } from './_limits.ts';
import { readBody } from './_read_body.ts';
import type { Attempts } from './attempts.ts';
import { createCallerAge } from './caller_age.ts';
import { type AttemptOutcome, CALL_PRIORITY, type GatewayRequest } from './request.ts';
import { chooseService, type RouteTable } from './route_table.ts';
import type { StopProgress } from './stop_progress.ts';

/** Names of the headers that callers and instances use, in lower case. */
export interface CallerHeaders {
  readonly requestId: string;
  readonly remainingMs: string;
  readonly callerService: string;
  readonly key: string;
}

/** How one request of a caller ended. */
export interface RequestSummary {
  readonly route: string;
  readonly kind: string;
  readonly outcome: AttemptOutcome['kind'] | 'no route' | 'gone';
  readonly reason: string;
  readonly durationMs: number;
}

/** Options of the listener. */
export interface CallerListenerOptions {
  readonly clock: Clock;
  readonly address: string;
  readonly headers: CallerHeaders;
  /** Service of the instance on this host, set on each request. */
  readonly callerService: () => string;
  /** Routes in force; undefined before the first contract is known. */
  readonly routes: () => RouteTable | undefined;
  readonly attempts: Attempts;
  readonly progress: StopProgress;
  readonly logger: Logger;
  readonly random: () => number;
  readonly onEnd?: (summary: RequestSummary) => void;
}

const IDLE_GRACE_MS = 1500;
/** Deadline of a request that names none. */
const DEFAULT_DEADLINE_MS = 30_000;
const NO_CONTRACT_RETRY_AFTER_S = '0.5';
/** A restarted node takes requests after about this time. */
const STOPPING_RETRY_AFTER_S = '0.6';
/** Part of the time to come back by which callers are spread, so that they do not come at once. */
const RETRY_SPREAD = 0.2;
const STATUS_NOT_FOUND = 404;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_TOO_LARGE = 413;

/**
 * Creates the listener for the callers of this host.
 *
 * @param options Clock, address, header names, routes, attempts and logger.
 * @returns The listener.
 *
 * @example
 * const listener = createCallerListener(options);
 * await listener.listen();
 */
export const createCallerListener = (options: CallerListenerOptions): HttpListener => {
  const { clock, headers: names } = options;
  const logger = options.logger.forPart('caller');
  const answers = createAnswerBuffer(MAX_BUFFERED_BYTES);
  const dropped = new Set([names.callerService, names.remainingMs]);
  const ages = createCallerAge();

  const toRequest = (
    message: IncomingMessage,
    route: PublishedRoute,
    arrivedAt: number,
    signal: AbortSignal,
  ): Omit<GatewayRequest, 'body'> | undefined => {
    const service = chooseService(route, options.random);
    if (service === undefined) return undefined;
    const remaining = Number(headerOf(message, names.remainingMs) ?? DEFAULT_DEADLINE_MS);
    const leftMs = Number.isFinite(remaining) ? remaining : DEFAULT_DEADLINE_MS;
    const key = headerOf(message, names.key);
    const isKeyed = options.routes()?.contract.services.get(service)?.keyed === true;
    const firstAt = arrivedAt - ages.ageMs(route.name, leftMs);
    const headers = endToEndHeaders(message.rawHeaders, dropped);
    headers.push(names.callerService, options.callerService());
    return {
      requestId: headerOf(message, names.requestId) ?? '',
      service,
      kind: route.kind,
      priority: route.priority,
      workClass: `${route.kind}/${route.priority}/${route.targetLatencyMs}`,
      key: isKeyed && key !== undefined && /^\d+$/u.test(key) ? Number(key) : undefined,
      instance: undefined,
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      headers,
      deadlineAt: arrivedAt + Math.min(leftMs, route.timeoutMs),
      targetAt: Math.min(arrivedAt + leftMs, firstAt + route.targetLatencyMs),
      hasReturned: firstAt < arrivedAt,
      signal,
    };
  };

  const retryAfter = ({ retryAfterSeconds }: RefusalError) => {
    if (retryAfterSeconds === undefined) return [];
    const spread = retryAfterSeconds * (1 + options.random() * RETRY_SPREAD);
    return ['retry-after', spread.toFixed(3)];
  };

  const end = (
    request: Omit<GatewayRequest, 'body'>,
    outcome: AttemptOutcome,
    response: ServerResponse,
  ) => {
    if (outcome.kind === 'answered') return;
    if (outcome.kind === 'truncated') {
      resetConnection(response);
      return;
    }
    const id = [names.requestId, request.requestId];
    if (outcome.kind === 'failed') {
      const text = '{"error":"the instance failed","outcome":"unknown"}';
      answerText(response, STATUS_BAD_GATEWAY, id, text);
      return;
    }
    const { refusal } = outcome;
    answerText(response, refusal.status, [...id, ...retryAfter(refusal)], describeRefusal(refusal));
  };

  const serve = async (
    message: IncomingMessage,
    response: ServerResponse,
    route: PublishedRoute,
    arrivedAt: number,
  ) => {
    const request = toRequest(message, route, arrivedAt, abortOnClose(response));
    if (request === undefined) {
      answerText(response, STATUS_UNAVAILABLE, [], '{"error":"the route has no service"}');
      return;
    }
    const body = await readBody(message, MAX_BODY_BYTES);
    if (body === undefined) {
      response.shouldKeepAlive = false;
      answerText(response, STATUS_TOO_LARGE, [], '{"error":"the body is too large"}');
      return;
    }
    await readPendingEvents();
    if (request.signal.aborted) return;
    const sink = createResponseSink(response, () => undefined, answers);
    const outcome = await options.attempts.run({ ...request, body }, route.maxAttempts, sink);
    end(request, outcome, response);
    const durationMs = clock.now() - arrivedAt;
    const isGone = request.signal.aborted;
    const refusal = outcome.kind === 'refused' ? outcome.refusal : undefined;
    options.onEnd?.({
      route: route.name,
      kind: route.kind,
      outcome: isGone ? 'gone' : outcome.kind,
      reason: refusal?.step ?? '',
      durationMs,
    });
    const fields = {
      request: request.requestId,
      route: route.name,
      service: request.service,
      revision: options.routes()?.revision,
      outcome: isGone ? 'gone' : outcome.kind,
      durationMs: Math.round(durationMs),
      leftMs: headerOf(message, names.remainingMs),
      toTargetMs: Math.round(request.targetAt - arrivedAt),
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
      reason: refusal?.message ?? 'the answer broke off',
    }, 'did not answer');
  };

  const handle = (message: IncomingMessage, response: ServerResponse, expect: Expectation) => {
    const arrivedAt = clock.now();
    const table = options.routes();
    const id = headerOf(message, names.requestId);
    if (table === undefined) {
      logger.warn({ request: id, notRun: true }, 'refused, because no contract is known yet');
      const text = '{"error":"no contract is known yet","outcome":"not run"}';
      answerText(response, STATUS_UNAVAILABLE, ['retry-after', NO_CONTRACT_RETRY_AFTER_S], text);
      return;
    }
    const route = table.match(headerOf(message, 'host') ?? '', message.url ?? '/');
    if (route === undefined) {
      logger.warn({
        request: id, revision: table.revision, host: message.headers.host, path: message.url,
      }, 'no route matches');
      answerText(response, STATUS_NOT_FOUND, [], '{"error":"no route matches"}');
      return;
    }
    const { phase } = options.progress;
    if (phase() !== 'running') response.shouldKeepAlive = false;
    // The instance beside a stopping node still runs requests, and these need their calls.
    if (phase() === 'closing' && route.priority > CALL_PRIORITY) {
      const text = '{"error":"the node stops","outcome":"not run"}';
      answerText(response, STATUS_UNAVAILABLE, ['retry-after', STOPPING_RETRY_AFTER_S], text);
      logger.info({
        request: id, route: route.name, notRun: true,
      }, 'refused, because the node stops');
      return;
    }
    response.once('close', options.progress.begin());
    allowBody(expect, response);
    serve(message, response, route, arrivedAt).catch((error: unknown) => {
      logger.error({ route: route.name, reason: String(error) }, 'failed to serve a request');
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
