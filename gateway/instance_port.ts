import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import {
  type AnswerSink, createWatchedPool, exchange, type ExchangeEnd, findHeader,
} from '../forward/mod.ts';
import { refuseNotRun, refuseUnknown } from './_refusals.ts';
import type { AttemptOutcome, GatewayRequest } from './request.ts';

/** Names of the headers between a node and its instance, in lower case. */
export interface InstanceHeaders {
  readonly requestId: string;
  /** Time in ms that the instance has left. */
  readonly remainingMs: string;
  /** Signature of the instance's answer. */
  readonly signature: string;
  /** The only instance that may run the request. */
  readonly expectedInstance: string;
  /** Present when the instance did not run the request. */
  readonly notRun: string;
}

/** Sends requests to one life of the instance on this host. */
export interface InstancePort {
  readonly send: (request: GatewayRequest, sink: AnswerSink) => Promise<AttemptOutcome>;
  /** Cuts all connections. */
  readonly close: () => void;
}

/** Options of a port. */
export interface InstancePortOptions {
  readonly clock: Clock;
  readonly address: string;
  readonly instance: string;
  readonly connections: number;
  readonly headers: InstanceHeaders;
  /** The instance's address refused a connection: no process listens there. */
  readonly onRefused: () => void;
}

const CONNECT_TIMEOUT_MS = 800;
/** Shorter than the idle time-out that instances use. */
const KEEP_ALIVE_MS = 4000;
/** An instance ends its work at the deadline by itself; its own answer is better than none. */
const DEADLINE_SLACK_MS = 40;
const BODY_STALL_MS = 10_000;
const STATUS_MISDIRECTED = 421;
const STATUS_GATEWAY_TIMEOUT = 504;
const REFUSED_RETRY_AFTER_MS = 100;

const isSuccess = (status: number) => status >= 200 && status < 300;

const codeOf = (error: unknown): string => {
  const { code, cause } = error as NodeJS.ErrnoException & { cause?: NodeJS.ErrnoException };
  return code ?? cause?.code ?? '';
};

/**
 * Creates the port to an instance. Every answer is checked: it must echo the request's identifier,
 * and a success must be signed and not encoded; otherwise its bytes belong to no request.
 *
 * @param options Clock, address, names of headers and limits.
 * @returns The port.
 *
 * @example
 * const outcome = await port.send(request, sink);
 */
export const createInstancePort = (options: InstancePortOptions): InstancePort => {
  const { clock, address, headers: names } = options;
  const { pool, checkEnd } = createWatchedPool(address, {
    connections: options.connections,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    keepAliveMs: KEEP_ALIVE_MS,
  });
  const replaced = new Set([names.remainingMs, names.expectedInstance]);

  const headersOf = (request: GatewayRequest) => {
    const headers: string[] = [];
    for (let index = 0; index + 1 < request.headers.length; index += 2) {
      const name = request.headers[index]!;
      if (!replaced.has(name.toLowerCase())) headers.push(name, request.headers[index + 1]!);
    }
    const leftMs = Math.max(1, Math.floor(request.deadlineAt - clock.now()));
    headers.push(names.remainingMs, String(leftMs), names.expectedInstance, options.instance);
    return headers;
  };

  const checkHead = (request: GatewayRequest) => (raw: readonly string[]) => {
    const echoed = findHeader(raw, names.requestId);
    return echoed === undefined || echoed === request.requestId
      ? undefined
      : 'the answer belongs to another request';
  };

  const toOutcome = (
    end: ExchangeEnd,
    request: GatewayRequest,
    notRunStatus: number | undefined,
  ): AttemptOutcome => {
    const place = { step: 'instance.send', peer: options.instance };
    if (notRunStatus !== undefined) {
      const reason = `the instance refused with ${notRunStatus}`;
      const { refusal } = refuseNotRun(reason, REFUSED_RETRY_AFTER_MS, place);
      return { kind: 'refused', refusal, reached: true };
    }
    if (end.kind === 'complete') return { kind: 'answered', status: end.status };
    if (end.begun) return { kind: 'truncated', error: new StepError(end.error.message, place) };
    if (codeOf(end.error) === 'ECONNREFUSED') options.onRefused();
    if (!end.written) return refuseNotRun(end.error.message, REFUSED_RETRY_AFTER_MS, place);
    const isLate = end.cause === 'deadline' || clock.now() >= request.deadlineAt;
    const status = isLate ? STATUS_GATEWAY_TIMEOUT : undefined;
    return refuseUnknown(`${end.cause}: ${end.error.message}`, place, status);
  };

  const send: InstancePort['send'] = async (request, sink) => {
    let notRunStatus: number | undefined;
    let failedStatus: number | undefined;
    let invalid: string | undefined;
    const end = await exchange(pool, {
      method: request.method,
      path: request.path,
      headers: headersOf(request),
      body: request.body,
    }, {
      ...sink,
      start: (status, headers, endsWithConnection) => {
        const isNotRun = findHeader(headers, names.notRun) !== undefined;
        if (isNotRun || status === STATUS_MISDIRECTED) {
          notRunStatus = status;
          return 'drain';
        }
        if (isSuccess(status)) {
          if (findHeader(headers, names.signature) === undefined) invalid = 'is not signed';
          if (findHeader(headers, names.requestId) === undefined) invalid = 'names no request';
          if (findHeader(headers, 'content-encoding') !== undefined) invalid = 'is encoded';
          if (invalid !== undefined) return 'cancel';
        }
        const use = sink.start(status, headers, endsWithConnection);
        if (use === 'drain') failedStatus = status;
        return use;
      },
    }, {
      clock,
      signal: request.signal,
      deadlineAt: request.deadlineAt + DEADLINE_SLACK_MS,
      silenceMs: Number.POSITIVE_INFINITY,
      stallMs: BODY_STALL_MS,
      checkHead: checkHead(request),
      checkEnd,
    });
    if (invalid !== undefined) {
      const place = { step: 'instance.send', peer: options.instance };
      return refuseUnknown(`the answer ${invalid}`, place);
    }
    if (failedStatus !== undefined) return { kind: 'failed', status: failedStatus };
    return toOutcome(end, request, notRunStatus);
  };

  return {
    send,
    close: () => {
      // Requests in flight end with their own errors, so nothing is lost here.
      pool.destroy().catch(() => undefined);
    },
  };
};
