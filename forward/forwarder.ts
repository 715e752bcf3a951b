import { Client, Pool } from 'undici';
import type { Clock } from '../clock/mod.ts';
import { RefusalError, StepError } from '../errors/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';
import { exchange, type ExchangeEnd } from './_exchange.ts';
import { findHeader, hopHeaders } from './headers.ts';
import {
  type AnswerSink, type AttemptEnd, BODY_PROGRESS_TIMEOUT_MS, HOP_PROGRESS_TIMEOUT_MS,
  type HopRequest, type ProgressTimeouts,
} from './hop.ts';
import { parseLoad } from './load_header.ts';
import { readRefusal } from './refusal_headers.ts';
import type { CancelReply } from './request_ledger.ts';

/** Sends requests to the peer listeners of other nodes. */
export interface Forwarder {
  readonly send: (address: string, request: HopRequest, sink: AnswerSink) => Promise<AttemptEnd>;
  /** Finishes what is in flight and closes the connections. */
  readonly stop: () => Promise<void>;
}

/** Options of a forwarder. */
export interface ForwarderOptions {
  readonly clock: Clock;
  /** Fleet credential, sent as a bearer token. */
  readonly credential: string;
  /** Connections to each peer. */
  readonly connections?: number;
  readonly progressTimeouts?: ProgressTimeouts;
  /** Key and certificates for mutual TLS; without them connections are plain. */
  readonly tls?: TlsMaterial;
}

/** Step of a refusal that arose on the way to a peer. */
export const FORWARD_STEP = 'forward.send';

const DEFAULT_CONNECTIONS = 256;
const CONNECT_TIMEOUT_MS = 500;
const CANCEL_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 30_000;
/** Pools of peers that left are closed after this time without a request. */
const IDLE_POOL_MS = 300_000;

interface PeerPool {
  readonly pool: Pool;
  usedAt: number;
}

/** Identifier of one attempt, as the receiver's ledger knows it. */
export const attemptId = (requestId: string, attempt: number) => `${requestId}.${attempt}`;

const hopHeadersOf = (request: HopRequest, remainingMs: number, bearer: string): string[] => {
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
 * Creates a forwarder.
 *
 * @param options Clock, credential and connections.
 * @returns The forwarder.
 *
 * @example
 * const forwarder = createForwarder({ clock, credential });
 * const end = await forwarder.send('127.0.0.1:7001', request, sink);
 */
export const createForwarder = (options: ForwarderOptions): Forwarder => {
  const { clock } = options;
  const bearer = `Bearer ${options.credential}`;
  const silenceMs = options.progressTimeouts ?? HOP_PROGRESS_TIMEOUT_MS;
  const pools = new Map<string, PeerPool>();
  const scheme = options.tls === undefined ? 'http' : 'https';
  const connectOptions = { connect: { ...options.tls, timeout: CONNECT_TIMEOUT_MS } };

  const closeIdlePools = () => {
    for (const [address, peer] of pools) {
      if (clock.now() - peer.usedAt < IDLE_POOL_MS) continue;
      pools.delete(address);
      peer.pool.close().catch(() => undefined);
    }
  };

  const poolOf = (address: string): Pool => {
    let peer = pools.get(address);
    if (peer === undefined) {
      closeIdlePools();
      const pool = new Pool(`${scheme}://${address}`, {
        connections: options.connections ?? DEFAULT_CONNECTIONS,
        pipelining: 1,
        ...connectOptions,
        keepAliveTimeout: KEEP_ALIVE_MS,
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

  const refuse = (
    address: string,
    outcome: 'not run' | 'unknown',
    reason: string,
    end: ExchangeEnd & { readonly kind: 'failed' },
  ): AttemptEnd => {
    const late = end.cause === 'deadline' || end.cause === 'silent';
    const status = late ? 504 : 503;
    const refusal = new RefusalError(reason, {
      step: FORWARD_STEP,
      peer: address,
      cause: end.error,
      status: outcome === 'unknown' && !late ? 502 : status,
      outcome,
    });
    return {
      kind: 'refused', refusal, load: undefined, timedOut: late,
    };
  };

  const settleFailure = async (
    address: string,
    request: HopRequest,
    sentAt: number,
    end: ExchangeEnd & { readonly kind: 'failed' },
  ): Promise<AttemptEnd> => {
    if (end.begun) {
      if (end.cause === 'stall') cancelAtPeer(address, request, sentAt).catch(() => undefined);
      const reason = `the answer broke off: ${end.error.message}`;
      const error = new StepError(reason, { step: FORWARD_STEP, peer: address, cause: end.error });
      return { kind: 'truncated', error };
    }
    if (!end.written) return refuse(address, 'not run', `not sent: ${end.error.message}`, end);
    if (end.cause === 'cancelled') return refuse(address, 'unknown', end.error.message, end);
    if (request.requestClass !== 'submission') {
      // Another attempt need not wait for this cancellation, which only frees the receiver's slot.
      if (end.cause === 'silent') cancelAtPeer(address, request, sentAt).catch(() => undefined);
      return refuse(address, 'unknown', end.error.message, end);
    }
    const reply = await cancelAtPeer(address, request, sentAt);
    if (reply === 'never seen') {
      return refuse(address, 'not run', 'the peer never received the request', end);
    }
    return refuse(address, 'unknown', `${end.error.message}; the peer replied: ${reply}`, end);
  };

  const send: Forwarder['send'] = async (address, request, sink) => {
    const sentAt = clock.now();
    const remainingMs = Math.max(0, Math.floor(request.deadlineAt - sentAt));
    const expectedId = attemptId(request.requestId, request.attempt);
    let rawHead: readonly string[] = [];
    let refusal: RefusalError | undefined;
    const end = await exchange(poolOf(address), {
      method: request.method,
      path: request.path,
      headers: hopHeadersOf(request, remainingMs, bearer),
      body: request.body,
    }, {
      ...sink,
      start: (status, headers) => {
        refusal = readRefusal(status, rawHead, address);
        return refusal === undefined ? sink.start(status, headers) : 'drain';
      },
    }, {
      clock,
      signal: request.signal,
      deadlineAt: request.deadlineAt,
      silenceMs: silenceMs[request.requestClass],
      stallMs: BODY_PROGRESS_TIMEOUT_MS[request.requestClass],
      checkHead: (raw) => {
        rawHead = raw;
        return findHeader(raw, hopHeaders.request) === expectedId
          ? undefined
          : 'the answer belongs to another request';
      },
    });
    if (end.kind === 'failed') return settleFailure(address, request, sentAt, end);
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
