import { Client, Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';
import { RefusalError, StepError } from '../errors/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';
import { exchange, type ExchangeResult } from './_exchange.ts';
import { findHeader, hopHeaders } from './headers.ts';
import {
  type ResponseSink, type AttemptResult, BODY_PROGRESS_TIMEOUT_MS, HEAD_PROGRESS_TIMEOUT_MS,
  type HopRequest, type ProgressTimeouts,
} from './hop.ts';
import { parseLoad } from './load_header.ts';
import { decodeRefusal } from './refusal_headers.ts';
import type { CancelReply } from './request_ledger.ts';

/** Sends requests to the peer listeners of other nodes. */
export interface Forwarder {
  /** Sends one attempt to the peer at `address` and streams its response into the sink. */
  readonly send: (
    address: string,
    request: HopRequest,
    sink: ResponseSink,
  ) => Promise<AttemptResult>;
  /** Waits for requests in flight, then closes all connections. */
  readonly stop: () => Promise<void>;
}

/** Options of a forwarder. */
export interface ForwarderOptions {
  readonly clock: Clock;
  /** Fleet credential, sent as a bearer token. */
  readonly credential: string;
  /** Largest number of connections to each peer. */
  readonly connections?: number;
  readonly progressTimeouts?: ProgressTimeouts;
  /** Key and certificates for mutual TLS; without them connections are plaintext. */
  readonly tls?: TlsMaterial;
}

/** Step of a refusal that was caused by the connection to a peer. */
export const FORWARD_STEP = 'forward.send';

const DEFAULT_CONNECTIONS = 256;
const CONNECT_TIMEOUT_MS = 500;
const CANCEL_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Idle time after which the pool of a peer is closed, as the peer may have left the fleet. */
const POOL_IDLE_TIMEOUT_MS = 300_000;

interface PeerPool {
  readonly pool: Pool;
  usedAt: number;
}

/**
 * Returns the identifier of one attempt in the ledger of the receiver.
 *
 * @param requestId Identifier of the request.
 * @param attempt Number of the attempt.
 * @returns The identifier.
 *
 * @example
 * attemptId('r1', 2); // 'r1.2'
 */
export const attemptId = (requestId: string, attempt: number) => `${requestId}.${attempt}`;

const createHopHeaders = (
  request: HopRequest,
  remainingMs: number,
  bearer: string,
): string[] => {
  const headers = [
    ...request.headers,
    'authorization', bearer,
    hopHeaders.request, request.requestId,
    hopHeaders.attempt, String(request.attempt),
    hopHeaders.remainingMs, String(remainingMs),
    hopHeaders.customer, request.customer,
    hopHeaders.share, String(request.share),
    hopHeaders.requestClass, request.requestClass,
    hopHeaders.service, request.service,
    hopHeaders.instance, request.instance,
    hopHeaders.version, String(request.version),
  ];
  if (request.key !== undefined) headers.push(hopHeaders.key, encodeURIComponent(request.key));
  return headers;
};

/**
 * Creates a forwarder with a connection pool for each peer.
 *
 * @param options Clock, credential and connection settings.
 * @returns The forwarder.
 *
 * @example
 * const forwarder = createForwarder({ clock, credential });
 * const end = await forwarder.send('127.0.0.1:7001', request, sink);
 */
export const createForwarder = (options: ForwarderOptions): Forwarder => {
  const { clock } = options;
  const bearer = `Bearer ${options.credential}`;
  const headTimeouts = options.progressTimeouts ?? HEAD_PROGRESS_TIMEOUT_MS;
  const pools = new Map<string, PeerPool>();
  const scheme = options.tls === undefined ? 'http' : 'https';
  const connectOptions = { connect: { ...options.tls, timeout: CONNECT_TIMEOUT_MS } };

  const closeIdlePools = () => {
    for (const [address, peer] of pools) {
      if (clock.now() - peer.usedAt < POOL_IDLE_TIMEOUT_MS) continue;
      pools.delete(address);
      peer.pool.close().catch(() => undefined);
    }
  };

  const getPool = (address: string): Pool => {
    let peer = pools.get(address);
    if (peer === undefined) {
      closeIdlePools();
      const pool = new Pool(`${scheme}://${address}`, {
        connections: options.connections ?? DEFAULT_CONNECTIONS,
        pipelining: 1,
        ...connectOptions,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      });
      peer = { pool, usedAt: 0 };
      pools.set(address, peer);
    }
    peer.usedAt = clock.now();
    return peer.pool;
  };

  const cancelAtPeer = async (
    address: string,
    request: HopRequest,
    sentAt: number,
  ): Promise<CancelReply | 'no answer'> => {
    const client = new Client(`${scheme}://${address}`, connectOptions);
    const timeout = new AbortController();
    const cancelTimeout = clock.schedule(CANCEL_TIMEOUT_MS, () => timeout.abort());
    try {
      const { body, statusCode } = await client.request({
        method: 'POST',
        path: `/v1/cancel/${encodeURIComponent(attemptId(request.requestId, request.attempt))}`,
        headers: {
          authorization: bearer, [hopHeaders.ageMs]: String(Math.ceil(clock.now() - sentAt)),
        },
        signal: timeout.signal,
      });
      const reply = await body.json() as { readonly reply: CancelReply };
      return statusCode === 200 ? reply.reply : 'no answer';
    } catch {
      return 'no answer';
    } finally {
      cancelTimeout();
      client.destroy().catch(() => undefined);
    }
  };

  const toRefused = (
    address: string,
    outcome: 'not run' | 'unknown',
    reason: string,
    end: ExchangeResult & { readonly kind: 'failed' },
  ): AttemptResult => {
    const isTimeout = end.cause === 'deadline' || end.cause === 'silent';
    const status = isTimeout ? 504 : 503;
    const refusal = new RefusalError(reason, {
      step: FORWARD_STEP,
      peer: address,
      cause: end.error,
      status: outcome === 'unknown' && !isTimeout ? 502 : status,
      outcome,
    });
    return {
      kind: 'refused', refusal, load: undefined, timedOut: isTimeout,
    };
  };

  const toAttemptResult = async (
    address: string,
    request: HopRequest,
    sentAt: number,
    end: ExchangeResult & { readonly kind: 'failed' },
  ): Promise<AttemptResult> => {
    if (end.begun) {
      if (end.cause === 'stall') cancelAtPeer(address, request, sentAt).catch(() => undefined);
      const reason = `the response was truncated: ${end.error.message}`;
      const error = new StepError(reason, { step: FORWARD_STEP, peer: address, cause: end.error });
      return { kind: 'truncated', error };
    }
    if (!end.written) return toRefused(address, 'not run', `not sent: ${end.error.message}`, end);
    if (end.cause === 'cancelled') return toRefused(address, 'unknown', end.error.message, end);
    if (request.requestClass !== 'submission') {
      // Not awaited: the cancellation only frees the slot at the receiver, so a retry can start.
      if (end.cause === 'silent') cancelAtPeer(address, request, sentAt).catch(() => undefined);
      return toRefused(address, 'unknown', end.error.message, end);
    }
    const reply = await cancelAtPeer(address, request, sentAt);
    if (reply === 'never seen') {
      return toRefused(address, 'not run', 'the peer never received the request', end);
    }
    return toRefused(address, 'unknown', `${end.error.message}; the peer replied: ${reply}`, end);
  };

  const send: Forwarder['send'] = async (address, request, sink) => {
    const sentAt = clock.now();
    const remainingMs = Math.max(0, Math.floor(request.deadlineAt - sentAt));
    const expectedId = attemptId(request.requestId, request.attempt);
    let rawHead: readonly string[] = [];
    let refusal: RefusalError | undefined;
    const end = await exchange(getPool(address), {
      method: request.method,
      path: request.path,
      headers: createHopHeaders(request, remainingMs, bearer),
      body: request.body,
    }, {
      ...sink,
      start: (status, headers) => {
        refusal = decodeRefusal(status, rawHead, address);
        return refusal === undefined ? sink.start(status, headers) : 'drain';
      },
    }, {
      clock,
      signal: request.signal,
      deadlineAt: request.deadlineAt,
      headProgressTimeoutMs: headTimeouts[request.requestClass],
      bodyProgressTimeoutMs: BODY_PROGRESS_TIMEOUT_MS[request.requestClass],
      checkHead: (raw) => {
        rawHead = raw;
        return findHeader(raw, hopHeaders.request) === expectedId
          ? undefined
          : 'the answer belongs to another request';
      },
    });
    if (end.kind === 'failed') return toAttemptResult(address, request, sentAt, end);
    const load = parseLoad(findHeader(rawHead, hopHeaders.load));
    if (refusal === undefined) return { kind: 'answered', status: end.status, load };
    return {
      kind: 'refused', refusal, load, timedOut: refusal.status === 504,
    };
  };

  const stop = async () => {
    await Promise.all([...pools.values()].map(({ pool }) => pool.close()));
    pools.clear();
  };

  return { send, stop };
};
