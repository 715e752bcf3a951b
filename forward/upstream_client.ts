import type { Readable } from 'node:stream';
import { Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import { exchange, type ExchangeEnd } from './_exchange.ts';
import { findHeader, REQUEST_ID_HEADER } from './headers.ts';
import { type AnswerSink, BODY_PROGRESS_TIMEOUT_MS } from './hop.ts';

/** A request to the local instance. */
export interface UpstreamRequest {
  readonly requestId: string;
  readonly requestClass: RequestClass;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Readable | null;
  /** Monotonic time in ms by which the answer must have begun. */
  readonly deadlineAt: number;
  /** Fencing token under which a keyed request runs. */
  readonly token: number | undefined;
  /** Placement slot of the key of a keyed request. */
  readonly slot?: number;
  readonly signal: AbortSignal;
  /** Aborts when the right to run the request lapses. */
  readonly lapse?: AbortSignal;
  /** Runs in the same event-loop turn as the write, before it; an error stops the write. */
  readonly beforeWrite?: () => Error | undefined;
}

/** Sends requests to the local instance, one at a time per connection. */
export interface UpstreamClient {
  readonly address: string;
  readonly send: (request: UpstreamRequest, sink: AnswerSink) => Promise<ExchangeEnd>;
  /** Finishes what is in flight and closes the connections. */
  readonly stop: () => Promise<void>;
}

/** Options of an upstream client. */
export interface UpstreamClientOptions {
  readonly clock: Clock;
  /** Largest number of connections that the instance accepts from its node. */
  readonly connections: number;
}

/** Remaining time in ms, sent to the upstream. */
export const REMAINING_HEADER = 'x-request-remaining-ms';

/** Fencing token of the grant under which the request runs, sent to the upstream. */
export const FENCING_TOKEN_HEADER = 'x-fencing-token';

/** Placement slot of the request's key, sent to the upstream beside the fencing token. */
export const FENCING_SLOT_HEADER = 'x-fencing-slot';

const CONNECT_TIMEOUT_MS = 1000;
/** Below the usual idle time-out of servers, which could close a connection under a request. */
const KEEP_ALIVE_MS = 4000;

const REPLACED = new Set([
  REQUEST_ID_HEADER, REMAINING_HEADER, FENCING_TOKEN_HEADER, FENCING_SLOT_HEADER,
]);

const withoutReplaced = (headers: readonly string[]): string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (!REPLACED.has(headers[index]!.toLowerCase())) {
      kept.push(headers[index]!, headers[index + 1]!);
    }
  }
  return kept;
};

/**
 * Creates the client of an upstream instance. A cancelled request destroys its connection.
 *
 * @param address Host and port of the instance.
 * @param options Clock and number of connections.
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
    keepAliveTimeout: KEEP_ALIVE_MS,
  });

  const send: UpstreamClient['send'] = (request, sink) => {
    const { requestId } = request;
    const remainingMs = Math.max(0, Math.floor(request.deadlineAt - clock.now()));
    const headers = withoutReplaced(request.headers);
    headers.push(REQUEST_ID_HEADER, requestId, REMAINING_HEADER, String(remainingMs));
    if (request.token !== undefined) headers.push(FENCING_TOKEN_HEADER, String(request.token));
    if (request.slot !== undefined) headers.push(FENCING_SLOT_HEADER, String(request.slot));
    return exchange(pool, {
      method: request.method, path: request.path, headers, body: request.body,
    }, sink, {
      clock,
      signal: request.signal,
      lapse: request.lapse,
      deadlineAt: request.deadlineAt,
      silenceMs: Number.POSITIVE_INFINITY,
      stallMs: BODY_PROGRESS_TIMEOUT_MS[request.requestClass],
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
