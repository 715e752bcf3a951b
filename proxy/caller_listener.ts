import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CustomerLimits, RetryBudget } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { CompiledContracts, Contract, RouteMatch } from '../contract/mod.ts';
import { type Outcome, RefusalError } from '../errors/mod.ts';
import { endToEndHeaders, type Forwarder, REQUEST_ID_HEADER } from '../forward/mod.ts';
import type { EndOwner } from '../lifecycle/mod.ts';
import type { Router } from '../routing/mod.ts';
import { type Logger, metricNames, type Metrics } from '../telemetry/mod.ts';
import { type CallerRequest, createAttemptRunner } from './_attempt_runner.ts';
import {
  createHttpServer, hasBody, type Expectation, type HttpListener, type HttpServerOptions,
} from '../http/mod.ts';
import { renderProblem, sendProblem } from './_problem.ts';
import {
  createRequestBody, type RequestBody, waitForBody,
} from './_request_body.ts';
import { findKey, findRequestProblem, parseTarget } from './_request_check.ts';
import { createResponseSink, resetConnection } from '../http/mod.ts';
import type { LocalDispatch } from './local_dispatch.ts';

/** Dependencies and limits of the caller listener. */
export interface CallerListenerOptions {
  readonly clock: Clock;
  readonly address: string;
  readonly contracts: () => CompiledContracts;
  readonly limits: CustomerLimits;
  readonly router: Router;
  readonly forwarder: Forwarder;
  readonly dispatch: LocalDispatch;
  readonly retryBudget: RetryBudget;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly maxHeaderBytes?: number;
  /** Largest number of requests that may wait for a placement change. */
  readonly maxWaiting?: number;
  readonly idleGraceMs?: number;
  /** Decides on and records the ends of connections; by default, they are not recorded. */
  readonly ends?: Pick<EndOwner, 'forListener'>;
  /**
   * Returns whether a caller that ends its side of a connection still gets its responses; by
   * default, from the stop of the listener on.
   */
  readonly keepsHalfOpen?: () => boolean;
}

/** Result of the checks of a request. */
interface CheckedRequest {
  readonly contract: Contract;
  readonly match: RouteMatch;
  readonly key: string | undefined;
}

const STEP = 'ingress.check';
const BODY_TOO_LARGE = 'the body is larger than the route allows';
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_MAX_WAITING = 1000;
const DEFAULT_IDLE_GRACE_MS = 500;
/** The token authenticates the caller to this node only; the node sets its own identifier. */
const REMOVED_HEADERS = new Set(['authorization', REQUEST_ID_HEADER]);

const createRefusal = (status: number, reason: string, outcome: Outcome = 'not run') => (
  new RefusalError(reason, { step: STEP, status, outcome })
);

/**
 * Creates the listener for requests of callers.
 *
 * @param options Dependencies, address and limits.
 * @returns The listener.
 *
 * @example
 * const listener = createCallerListener({ clock, address: '127.0.0.1:8080', ...parts });
 * const address = await listener.listen();
 */
export const createCallerListener = (options: CallerListenerOptions): HttpListener => {
  const {
    clock, contracts, limits, logger, metrics,
  } = options;
  const runAttempts = createAttemptRunner({
    ...options, maxWaiting: options.maxWaiting ?? DEFAULT_MAX_WAITING,
  });
  const idPrefix = randomBytes(8).toString('hex');
  let nextId = 0;
  let isStopping = false;
  const requestIds = new WeakMap<IncomingMessage, string>();

  const createRequestId = () => {
    nextId += 1;
    return `${idPrefix}-${nextId.toString(36)}`;
  };

  const findCustomer = (message: IncomingMessage): Contract | undefined => {
    const { authorization } = message.headers;
    if (authorization === undefined || !/^bearer /iu.test(authorization)) return undefined;
    return contracts().findContract(authorization.slice('bearer '.length).trim());
  };

  const checkRequest = (
    message: IncomingMessage,
    expect: Expectation,
  ): CheckedRequest | RefusalError => {
    const problem = findRequestProblem(message);
    if (problem !== undefined) return createRefusal(400, problem);
    if (expect === 'other') return createRefusal(417, 'the expectation is not supported');
    const target = parseTarget(message.url ?? '');
    if (target === undefined) return createRefusal(400, 'the request target is invalid');
    const contract = findCustomer(message);
    if (contract === undefined) return createRefusal(401, 'no valid bearer token');
    const match = contracts().findRoute(contract, {
      host: message.headers.host ?? '', path: target.path, method: message.method ?? '',
    });
    if (match === undefined) return createRefusal(404, 'no route matches');
    const key = findKey(match, target.query, message.rawHeaders);
    if (match.service.keyed && key === undefined) return createRefusal(400, 'the key is missing');
    if (Number(message.headers['content-length'] ?? 0) > match.route.maxBodyBytes) {
      return createRefusal(413, BODY_TOO_LARGE);
    }
    return { contract, match, key };
  };

  const sendRefusal = (response: ServerResponse, error: RefusalError, requestId: string) => {
    metrics.increment(metricNames.requestsRefused);
    logger.debug({ request: requestId, err: error }, `refused with status ${error.status}`);
    if (response.destroyed) return;
    if (response.headersSent) response.destroy();
    else sendProblem(response, error, requestId, clock);
  };

  const run = async (
    request: CallerRequest,
    body: RequestBody | undefined,
    response: ServerResponse,
  ) => {
    const { requestId } = request;
    const startedAt = clock.now();
    const sink = createResponseSink(response, (headers) => {
      headers.push(REQUEST_ID_HEADER, requestId);
    });
    if (request.body !== null) await waitForBody(request.body, request, clock);
    if (body?.isTooLarge()) {
      sendRefusal(response, createRefusal(413, BODY_TOO_LARGE), requestId);
      return;
    }
    const end = await runAttempts(request, sink);
    body?.stream.destroy();
    if (end.kind === 'answered') {
      metrics.increment(metricNames.requestsAnswered);
      metrics.timing(metricNames.requestDurationMs, clock.now() - startedAt);
    } else if (end.kind === 'truncated') {
      logger.warn({ request: requestId, err: end.error }, 'the response was truncated');
      resetConnection(response);
    } else if (body?.isTooLarge()) {
      const { outcome } = end.refusal;
      const error = createRefusal(413, BODY_TOO_LARGE, outcome);
      sendRefusal(response, error, requestId);
    } else sendRefusal(response, end.refusal, requestId);
  };

  const handle: HttpServerOptions['handle'] = (message, response, expect, arrivedAt) => {
    const requestId = createRequestId();
    requestIds.set(message, requestId);
    const checked = checkRequest(message, expect);
    if (checked instanceof RefusalError) {
      sendRefusal(response, checked, requestId);
      return;
    }
    const { contract, match, key } = checked;
    const admitted = limits.admit(contract);
    if (admitted.isErr()) {
      sendRefusal(response, admitted.error, requestId);
      return;
    }
    if (expect === 'continue') response.writeContinue();
    const abort = new AbortController();
    response.once('close', () => {
      admitted.value.release();
      if (!response.writableFinished) abort.abort();
    });
    const body = hasBody(message)
      ? createRequestBody(message, match.route.maxBodyBytes)
      : undefined;
    const request: CallerRequest = {
      requestId,
      contract,
      match,
      customer: contract.customer,
      share: contract.share,
      requestClass: match.route.class,
      service: match.service.name,
      key,
      deadlineAt: arrivedAt + match.route.deadlineMs,
      method: message.method ?? '',
      path: message.url ?? '',
      headers: endToEndHeaders(message.rawHeaders, REMOVED_HEADERS),
      body: body?.stream ?? null,
      signal: abort.signal,
    };
    run(request, body, response).catch((error: unknown) => {
      logger.error({ request: requestId, err: error }, 'request failed unexpectedly');
      response.destroy();
    });
  };

  const listener = createHttpServer({
    clock,
    address: options.address,
    maxHeaderBytes: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    idleGraceMs: options.idleGraceMs ?? DEFAULT_IDLE_GRACE_MS,
    handle,
    ends: options.ends?.forListener('caller', (message) => requestIds.get(message)),
    keepsHalfOpen: options.keepsHalfOpen ?? (() => isStopping),
    onAcceptError: (error) => logger.error({ err: error }, 'failed to accept a connection'),
    renderMalformed: (status, dispatched) => renderProblem(
      createRefusal(status, 'the request is not valid HTTP', dispatched ? 'unknown' : 'not run'),
      createRequestId(),
    ),
  });
  return {
    ...listener,
    stop: () => {
      isStopping = true;
      return listener.stop();
    },
  };
};
