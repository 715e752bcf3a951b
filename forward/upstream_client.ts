import type { Readable } from 'node:stream';
import { Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import { exchange, type ExchangeResult } from './_exchange.ts';
import { findHeader, REQUEST_ID_HEADER } from './headers.ts';
import { type ResponseSink, BODY_PROGRESS_TIMEOUT_MS } from './hop.ts';

/** A request to the local instance. */
export interface UpstreamRequest {
  readonly requestId: string;
  readonly requestClass: RequestClass;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Readable | null;
  /** Deadline, in ms of the monotonic clock, for the head of the response. */
  readonly deadlineAt: number;
  /** Fencing token of a keyed request; undefined for other requests. */
  readonly token: number | undefined;
  /** Placement slot of the key; undefined for requests without a key. */
  readonly slot?: number;
  readonly signal: AbortSignal;
  /** Aborts when the lease under which the request runs expires. */
  readonly leaseExpiry?: AbortSignal;
  /**
   * Runs directly before the request is written, in the same event-loop turn; a returned error
   * prevents the write.
   */
  readonly beforeWrite?: () => Error | undefined;
}

/** Sends requests to the local instance, without pipelining. */
export interface UpstreamClient {
  readonly address: string;
  readonly send: (request: UpstreamRequest, sink: ResponseSink) => Promise<ExchangeResult>;
  /** Waits for requests in flight, then closes all connections. */
  readonly stop: () => Promise<void>;
}

/** Options of an upstream client. */
export interface UpstreamClientOptions {
  readonly clock: Clock;
  /** Largest number of connections that the instance accepts from this node. */
  readonly connections: number;
}

/** Header with the time in ms until the deadline of the request, sent to the upstream. */
export const REMAINING_HEADER = 'x-request-remaining-ms';

/** Header with the fencing token of the grant that covers the request, sent to the upstream. */
export const FENCING_TOKEN_HEADER = 'x-fencing-token';

/** Header with the placement slot of the request's key, sent to the upstream with the token. */
export const FENCING_SLOT_HEADER = 'x-fencing-slot';

const CONNECT_TIMEOUT_MS = 1000;
/** Below the usual idle timeout of servers, which may otherwise close a connection being reused. */
const KEEP_ALIVE_TIMEOUT_MS = 4000;

const REPLACED_HEADERS = new Set([
  REQUEST_ID_HEADER, REMAINING_HEADER, FENCING_TOKEN_HEADER, FENCING_SLOT_HEADER,
]);

const removeReplacedHeaders = (headers: readonly string[]): string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (!REPLACED_HEADERS.has(headers[index]!.toLowerCase())) {
      kept.push(headers[index]!, headers[index + 1]!);
    }
  }
  return kept;
};

/**
 * Creates a client of the local instance. Cancelling a request destroys its connection.
 *
 * @param address Host and port of the instance.
 * @param options Clock and connection limit.
 * @returns The client.
 *
 * @example
 * const client = createUpstreamClient('127.0.0.1:9000', { clock, connections: 70 });
 */
export const createUpstreamClient = (
  address: string,
  options: UpstreamClientOptions,
): UpstreamClient => {
  const { clock } = options;
  const pool = new Pool(`http://${address}`, {
    connections: options.connections,
    pipelining: 1,
    connectTimeout: CONNECT_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  });

  const send: UpstreamClient['send'] = (request, sink) => {
    const { requestId } = request;
    const remainingMs = Math.max(0, Math.floor(request.deadlineAt - clock.now()));
    const headers = removeReplacedHeaders(request.headers);
    headers.push(REQUEST_ID_HEADER, requestId, REMAINING_HEADER, String(remainingMs));
    if (request.token !== undefined) headers.push(FENCING_TOKEN_HEADER, String(request.token));
    if (request.slot !== undefined) headers.push(FENCING_SLOT_HEADER, String(request.slot));
    return exchange(pool, {
      method: request.method, path: request.path, headers, body: request.body,
    }, sink, {
      clock,
      signal: request.signal,
      leaseExpiry: request.leaseExpiry,
      deadlineAt: request.deadlineAt,
      headProgressTimeoutMs: Number.POSITIVE_INFINITY,
      bodyProgressTimeoutMs: BODY_PROGRESS_TIMEOUT_MS[request.requestClass],
      beforeWrite: request.beforeWrite,
      checkHead: (raw) => {
        const echoed = findHeader(raw, REQUEST_ID_HEADER);
        return echoed === undefined || echoed === requestId
          ? undefined
          : 'the answer belongs to another request';
      },
    });
  };

  return { address, send, stop: () => pool.close() };
};
