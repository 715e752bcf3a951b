import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import { StepError } from '../errors/mod.ts';
import {
  type ResponseSink,
  createTruncationAwarePool,
  exchange,
  type ExchangeResult,
  findHeader,
  hopHeaders,
  readLoad,
  decodeRefusal,
  readSpentMs,
  type TruncationAwarePool,
} from '../forward/mod.ts';
import { formatHop, HOP_HEADER } from './_hop_header.ts';
import { createFailureDetector } from './failure_detector.ts';
import { refuseNotRun, refuseUnknown } from './_refusals.ts';
import { type AttemptOutcome, type GatewayRequest, isIdempotent } from './request.ts';

/** Outcome of a request to a peer, and the load of its instance if the response reported it. */
export interface PeerSendResult {
  readonly outcome: AttemptOutcome;
  readonly load: AdmissionLoad | undefined;
}

/** What seems not to answer a request: the node that was asked, or the instance on its host. */
export type SilentPart = 'peer' | 'instance';

/** HTTP client for the nodes on other hosts. */
export interface PeerClient {
  /**
   * Sends a request to the peer at `address` and streams the response into `sink`. `onSilent` is
   * called when nothing arrives for some time, and when the peer says that its instance seems not
   * to answer; the request goes on until its deadline.
   */
  readonly send: (
    address: string,
    request: GatewayRequest,
    sink: ResponseSink,
    onSilent?: (part: SilentPart) => void,
  ) => Promise<PeerSendResult>;
  /** Returns whether the peer is suspected of having failed. */
  readonly isSuspect: (address: string) => boolean;
  /**
   * Closes the connections to all peers that are not in `peers`, which has the start time of the
   * process at each address. A new process is not suspected for its predecessor.
   */
  readonly retain: (peers: ReadonlyMap<string, number>) => void;
  readonly close: () => Promise<void>;
}

/** Options of the peer client. */
export interface PeerClientOptions {
  readonly clock: Clock;
  /** Lower-case name of the header that carries the request identifier. */
  readonly requestIdHeader: string;
  /** Called when a peer becomes suspect, but not again while it stays so. */
  readonly onSuspect?: (address: string, reason: string) => void;
  /**
   * Called at the head of a response that names the time which the peer has spent: the duration of
   * the attempt less that time, in ms.
   */
  readonly onRoundTrip?: (address: string, roundTripMs: number) => void;
  /** Called at the end of a response with the approximate bytes of request and response. */
  readonly onTransfer?: (kind: RouteKind, bytes: number) => void;
}

/** Bounds the wait for a partitioned host, which drops the packets of a new connection. */
const CONNECT_TIMEOUT_MS = 300;
/** Shorter than the idle timeout of the peers' listeners. */
const KEEP_ALIVE_MS = 30_000;
const MAX_CONNECTIONS = 128;
/**
 * Maximum time without a byte from a peer. A live peer sends three interim responses in this time
 * while a request waits or runs, so after a longer silence its connection or host may be dead. It
 * may as well be busy or have a full link.
 */
export const MAX_PEER_SILENCE_MS = 900;
/** Extra time after the deadline to receive the peer's own timeout response. */
const DEADLINE_SLACK_MS = 80;
/** Time after the deadline in which a response that has begun may end. */
const BODY_SLACK_MS = 180;
const RETRY_AFTER_MS = 150;
/** Assumed bytes of the heads of a request and its response. */
const HEADS_BYTES = 800;
const STATUS_GATEWAY_TIMEOUT = 504;

const isConnectionRefused = (error: Error) => 'code' in error && error.code === 'ECONNREFUSED';

/**
 * Creates a client that keeps one connection pool per peer.
 *
 * @param options Clock and the callback for suspect peers.
 * @returns The client.
 *
 * @example
 * const { outcome, load } = await peers.send('10.0.0.2:7000', request, sink);
 */
export const createPeerClient = (options: PeerClientOptions): PeerClient => {
  const { clock, onSuspect = () => undefined } = options;
  const pools = new Map<string, TruncationAwarePool>();
  const detector = createFailureDetector(clock);

  const poolOf = (address: string) => {
    const known = pools.get(address);
    if (known !== undefined) return known;
    const pool = createTruncationAwarePool(address, {
      connections: MAX_CONNECTIONS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
    });
    pools.set(address, pool);
    return pool;
  };

  const recordConnectionFailure = (address: string, error: Error, startedAt: number) => {
    const isNewlySuspect = isConnectionRefused(error)
      ? detector.recordClosed(address)
      : detector.recordSilence(address, startedAt);
    if (isNewlySuspect) onSuspect(address, error.message);
  };

  const toOutcome = (
    end: ExchangeResult,
    address: string,
    startedAt: number,
    deadlineAt: number,
  ): AttemptOutcome => {
    if (end.kind === 'complete') return { kind: 'answered', status: end.status };
    const context = { step: 'peer.send', peer: address };
    if (end.begun) return { kind: 'truncated', error: new StepError(end.error.message, context) };
    if (end.cause === 'connection' && !end.written) {
      recordConnectionFailure(address, end.error, startedAt);
    }
    if (!end.written) return refuseNotRun(end.error.message, RETRY_AFTER_MS, context);
    const isTimeout = end.cause === 'deadline' || clock.now() >= deadlineAt;
    const status = isTimeout ? STATUS_GATEWAY_TIMEOUT : undefined;
    return refuseUnknown(`${end.cause}: ${end.error.message}`, {
      ...context, cause: end.cause,
    }, status);
  };

  const send: PeerClient['send'] = async (address, request, sink, onSilent) => {
    const startedAt = clock.now();
    let load: AdmissionLoad | undefined;
    let refusedOutcome: AttemptOutcome | undefined;
    let failedStatus: number | undefined;
    let rawHeaders: readonly string[] = [];
    let isNamed = false;
    let bytes = HEADS_BYTES + (request.body?.length ?? 0);
    const checkHead = (raw: readonly string[]) => {
      rawHeaders = raw;
      load = readLoad(raw);
      const responseId = findHeader(raw, options.requestIdHeader);
      isNamed = responseId !== undefined;
      const spentMs = readSpentMs(raw);
      if (spentMs !== undefined) options.onRoundTrip?.(address, clock.now() - startedAt - spentMs);
      return responseId === undefined || responseId === request.requestId
        ? undefined
        : 'the answer belongs to another request';
    };
    const { pool, checkEnd } = poolOf(address);
    const end = await exchange(pool, {
      method: request.method,
      path: request.path,
      headers: [...request.headers, HOP_HEADER, formatHop(request, clock.now())],
      body: request.body,
    }, {
      ...sink,
      start: (status, headers) => {
        const refusal = decodeRefusal(status, rawHeaders, address);
        if (refusal !== undefined) {
          const reachedInstance = findHeader(rawHeaders, hopHeaders.reached) !== undefined;
          const isStopping = findHeader(rawHeaders, hopHeaders.stopping) !== undefined;
          // The last refusal of a stopping listener names no request, and ends its connection.
          refusedOutcome = isNamed || isStopping || isIdempotent(request.kind)
            ? { kind: 'refused', refusal, reachedInstance }
            : refuseUnknown('the refusal names no request', { step: 'peer.send', peer: address });
          if (isStopping && detector.recordClosed(address)) onSuspect(address, 'the node stops');
          return 'drain';
        }
        const use = sink.start(status, headers);
        if (use === 'hold') failedStatus = status;
        return use;
      },
      write: (chunk) => {
        bytes += chunk.length;
        return sink.write(chunk);
      },
    }, {
      clock,
      signal: request.signal,
      deadlineAt: request.deadlineAt + DEADLINE_SLACK_MS,
      endDeadlineAt: request.deadlineAt + BODY_SLACK_MS,
      headProgressTimeoutMs: isIdempotent(request.kind)
        ? MAX_PEER_SILENCE_MS
        : Number.POSITIVE_INFINITY,
      onReceive: () => detector.recordContact(address),
      onSilent: (since) => {
        if (detector.recordSilence(address, since)) onSuspect(address, 'no progress in time');
        onSilent?.('peer');
        return false;
      },
      onInterim: (raw) => {
        if (findHeader(raw, hopHeaders.silent) !== undefined) onSilent?.('instance');
      },
      // A pause within the deadlines is no reason to break a run off.
      bodyProgressTimeoutMs: Number.POSITIVE_INFINITY,
      checkHead,
      checkEnd,
    });
    if (end.kind === 'complete' && refusedOutcome === undefined) {
      options.onTransfer?.(request.kind, bytes);
    }
    if (refusedOutcome !== undefined) return { outcome: refusedOutcome, load };
    if (failedStatus !== undefined) {
      return { outcome: { kind: 'failed', status: failedStatus }, load };
    }
    return { outcome: toOutcome(end, address, startedAt, request.deadlineAt), load };
  };

  const closePool = (address: string) => {
    const known = pools.get(address);
    pools.delete(address);
    // The pool closes after its requests in flight have finished.
    return known?.pool.close();
  };

  return {
    send,
    isSuspect: detector.isSuspect,
    retain: (peers) => {
      detector.retain(peers);
      for (const address of [...pools.keys()]) {
        if (!peers.has(address)) closePool(address)?.catch(() => undefined);
      }
    },
    close: async () => {
      await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
    },
  };
};
