import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import {
  type ResponseSink, createTruncationAwarePool, exchange, type ExchangeResult, findHeader,
} from '../forward/mod.ts';
import { refuseNotRun, refuseUnknown } from './_refusals.ts';
import { createConnectionLosses } from './_connection_losses.ts';
import { createUnfinishedWork, type WorkEnd } from './_unfinished_work.ts';
import type { AttemptOutcome, GatewayRequest } from './request.ts';
import type { ResponseSilence } from './response_silence.ts';

/** Lower-case names of the headers between a node and the instance on its host. */
export interface InstanceHeaders {
  readonly requestId: string;
  /** Time in ms that remains until the deadline. */
  readonly remainingMs: string;
  /** Signature of the instance's response. */
  readonly signature: string;
  /** Name of the only instance that may run the request. */
  readonly expectedInstance: string;
  /** Present in a response when the instance did not run the request. */
  readonly notRun: string;
}

/** Listeners to the progress of a request at the instance. */
export interface InstanceSendListeners {
  /** Called in the turn of the event loop in which the request is written to a connection. */
  readonly onSent?: (() => void) | undefined;
  /** Called once if the connection seems to have gone silent; the request goes on. */
  readonly onSilent?: (() => void) | undefined;
}

/** HTTP client for one incarnation of the instance on this host. */
export interface InstanceClient {
  /** Sends a request to the instance and streams the response into `sink`. */
  readonly send: (
    request: GatewayRequest,
    sink: ResponseSink,
    listeners?: InstanceSendListeners,
  ) => Promise<AttemptOutcome>;
  /** Returns whether the process may be at work on a request, also on one that was given up. */
  readonly hasUnfinishedWork: () => boolean;
  /** Sends no further requests and closes each connection once its request has ended. */
  readonly close: () => void;
}

/** Options of the instance client. */
export interface InstanceClientOptions {
  readonly clock: Clock;
  readonly address: string;
  readonly instance: string;
  /** Maximum number of connections to the instance. */
  readonly connections: number;
  readonly headers: InstanceHeaders;
  /** Called when the address refuses a connection, so that no process listens there. */
  readonly onConnectionRefused: () => void;
  /** Called when the instance has closed all connections at once, as an ended process does. */
  readonly onConnectionsLost?: (() => void) | undefined;
  /** Tells silent connections from long runs; by default, none is taken for silent. */
  readonly silence?: ResponseSilence;
}

const CONNECT_TIMEOUT_MS = 800;
/** Shorter than the idle timeout of the instances. */
const KEEP_ALIVE_MS = 4000;
/** Extra time after the deadline, as an instance that reaches it sends its own response. */
const DEADLINE_SLACK_MS = 40;
/** Time after the deadline in which a response that has begun may end. */
const BODY_SLACK_MS = 150;
const STATUS_MISDIRECTED = 421;
const STATUS_GATEWAY_TIMEOUT = 504;
const REFUSED_RETRY_AFTER_MS = 100;

const isSuccess = (status: number) => status >= 200 && status < 300;

const errorCodeOf = (error: unknown): string => {
  const { code, cause } = error as NodeJS.ErrnoException & { cause?: NodeJS.ErrnoException };
  return code ?? cause?.code ?? '';
};

/**
 * Creates a client for an instance that checks each response, refusals and errors too: it must name
 * the request, and a success must carry a signature and no content encoding. A response that fails
 * a check cannot be attributed to the request: it is not delivered, proves nothing about the
 * request, and its connection is closed.
 *
 * @param options Clock, address, header names and connection limit.
 * @returns The client.
 *
 * @example
 * const outcome = await instanceClient.send(request, sink);
 */
export const createInstanceClient = (options: InstanceClientOptions): InstanceClient => {
  const { clock, address, headers: headerNames } = options;
  const losses = createConnectionLosses(clock, options.onConnectionsLost ?? (() => undefined));
  const work = createUnfinishedWork(clock);
  const { pool, checkEnd } = createTruncationAwarePool(address, {
    connections: options.connections,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
    onConnect: (socket) => {
      work.recordLife();
      losses.watch(socket);
    },
  });
  const replacedHeaders = new Set([headerNames.remainingMs, headerNames.expectedInstance]);

  const headersOf = (request: GatewayRequest, remainingMs: number) => {
    const headers: string[] = [];
    for (let index = 0; index + 1 < request.headers.length; index += 2) {
      const name = request.headers[index]!;
      if (!replacedHeaders.has(name.toLowerCase())) headers.push(name, request.headers[index + 1]!);
    }
    headers.push(
      headerNames.remainingMs,
      String(remainingMs),
      headerNames.expectedInstance,
      options.instance,
    );
    return headers;
  };

  const checkHead = (request: GatewayRequest) => (raw: readonly string[]) => {
    const responseId = findHeader(raw, headerNames.requestId);
    if (responseId === undefined) return 'the answer names no request';
    return responseId === request.requestId ? undefined : 'the answer belongs to another request';
  };

  const workEndOf = (end: ExchangeResult): WorkEnd => {
    if (end.kind === 'complete') return 'answered';
    return end.cause === 'connection' && losses.recordFailure() ? 'lost' : 'abandoned';
  };

  const toOutcome = (
    end: ExchangeResult,
    request: GatewayRequest,
    notRunStatus: number | undefined,
  ): AttemptOutcome => {
    const context = { step: 'instance.send', peer: options.instance };
    if (notRunStatus !== undefined) {
      const reason = `the instance refused with ${notRunStatus}`;
      const figures = { instanceStatus: notRunStatus };
      const { refusal } = refuseNotRun(reason, REFUSED_RETRY_AFTER_MS, { ...context, figures });
      return { kind: 'refused', refusal, reachedInstance: true };
    }
    if (end.kind === 'complete') return { kind: 'answered', status: end.status };
    if (end.begun) return { kind: 'truncated', error: new StepError(end.error.message, context) };
    if (errorCodeOf(end.error) === 'ECONNREFUSED') options.onConnectionRefused();
    if (!end.written) return refuseNotRun(end.error.message, REFUSED_RETRY_AFTER_MS, context);
    const isTimeout = end.cause === 'deadline' || clock.now() >= request.deadlineAt;
    const status = isTimeout ? STATUS_GATEWAY_TIMEOUT : undefined;
    return refuseUnknown(`${end.cause}: ${end.error.message}`, {
      ...context, cause: end.cause,
    }, status);
  };

  const send: InstanceClient['send'] = async (request, sink, listeners) => {
    let notRunStatus: number | undefined;
    let failedStatus: number | undefined;
    let fault: string | undefined;
    const watch = options.silence?.watch(request.workClass, request.deadlineAt);
    const remainingMs = Math.max(1, Math.floor(request.deadlineAt - clock.now()));
    let endWork: ((end: WorkEnd) => void) | undefined;
    const end = await exchange(pool, {
      method: request.method,
      path: request.path,
      headers: headersOf(request, remainingMs),
      body: request.body,
    }, {
      ...sink,
      start: (status, headers) => {
        const isNotRun = findHeader(headers, headerNames.notRun) !== undefined;
        if (isNotRun || status === STATUS_MISDIRECTED) {
          notRunStatus = status;
          return 'drain';
        }
        watch?.recordHead(status);
        if (isSuccess(status)) {
          if (findHeader(headers, headerNames.signature) === undefined) fault = 'is not signed';
          if (findHeader(headers, 'content-encoding') !== undefined) fault = 'is encoded';
          if (fault !== undefined) return 'cancel';
        }
        const use = sink.start(status, headers);
        if (use === 'hold') failedStatus = status;
        return use;
      },
    }, {
      clock,
      signal: request.signal,
      deadlineAt: request.deadlineAt + DEADLINE_SLACK_MS,
      endDeadlineAt: request.deadlineAt + BODY_SLACK_MS,
      headProgressTimeoutMs: watch?.timeoutMs ?? Number.POSITIVE_INFINITY,
      onSilent: () => {
        if (watch?.isSilent() === true) listeners?.onSilent?.();
        return false;
      },
      // A pause within the deadlines is no reason to break a run off.
      bodyProgressTimeoutMs: Number.POSITIVE_INFINITY,
      onReceive: work.recordLife,
      beforeWrite: () => {
        endWork = work.begin(remainingMs);
        watch?.start();
        listeners?.onSent?.();
        return undefined;
      },
      checkHead: checkHead(request),
      checkEnd,
    });
    watch?.end();
    endWork?.(workEndOf(end));
    if (fault !== undefined) {
      const context = { step: 'instance.send', peer: options.instance };
      return refuseUnknown(`the answer ${fault}`, context);
    }
    if (failedStatus !== undefined) return { kind: 'failed', status: failedStatus };
    return toOutcome(end, request, notRunStatus);
  };

  return {
    send,
    hasUnfinishedWork: work.exists,
    close: () => {
      // The process may still answer what it runs; requests in flight report their own errors.
      pool.close().catch(() => undefined);
    },
  };
};
