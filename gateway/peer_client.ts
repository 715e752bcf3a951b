import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import {
  type ResponseSink,
  createTruncationAwarePool,
  exchange,
  type ExchangeResult,
  findHeader,
  hopHeaders,
  parseLoad,
  decodeRefusal,
  type TruncationAwarePool,
} from '../forward/mod.ts';
import { formatHop, HOP_HEADER } from './_hop_header.ts';
import { refuseNotRun, refuseUnknown } from './_refusals.ts';
import { type AttemptOutcome, type GatewayRequest, isIdempotent } from './request.ts';

/** Outcome of a request to a peer, and the load of its instance if the response reported it. */
export interface PeerSendResult {
  readonly outcome: AttemptOutcome;
  readonly load: AdmissionLoad | undefined;
}

/** HTTP client for the nodes on other hosts. */
export interface PeerClient {
  /**
   * Sends a request to the peer at `address` and streams the response into `sink`. `onSilent` is
   * called when nothing arrives for some time; the request goes on until its deadline.
   */
  readonly send: (
    address: string,
    request: GatewayRequest,
    sink: ResponseSink,
    onSilent?: () => void,
  ) => Promise<PeerSendResult>;
  /** Returns whether a connection to the peer recently failed or went silent. */
  readonly isSuspect: (address: string) => boolean;
  /** Closes the connections to all peers that are not in `addresses`. */
  readonly retain: (addresses: ReadonlySet<string>) => void;
  readonly close: () => Promise<void>;
}

/** Options of the peer client. */
export interface PeerClientOptions {
  readonly clock: Clock;
  /** Called when a peer becomes suspect, but not again while it stays so. */
  readonly onSuspect?: (address: string, reason: string) => void;
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
const BODY_STALL_MS = 10_000;
/** Time for which a suspect peer gets no requests that other nodes can serve. */
const SUSPICION_MS = 1200;
const RETRY_AFTER_MS = 150;
const STATUS_GATEWAY_TIMEOUT = 504;

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
  const suspectUntil = new Map<string, number>();

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

  const isSuspect = (address: string) => (suspectUntil.get(address) ?? -Infinity) > clock.now();

  const markSuspect = (address: string, reason: string) => {
    const wasSuspect = isSuspect(address);
    suspectUntil.set(address, clock.now() + SUSPICION_MS);
    if (!wasSuspect) onSuspect(address, reason);
  };

  const toOutcome = (
    end: ExchangeResult,
    address: string,
    deadlineAt: number,
  ): AttemptOutcome => {
    if (end.kind === 'complete') return { kind: 'answered', status: end.status };
    const context = { step: 'peer.send', peer: address };
    if (end.begun) return { kind: 'truncated', error: new StepError(end.error.message, context) };
    if (end.cause === 'connection' && !end.written) markSuspect(address, end.error.message);
    if (!end.written) return refuseNotRun(end.error.message, RETRY_AFTER_MS, context);
    const isTimeout = end.cause === 'deadline' || clock.now() >= deadlineAt;
    const status = isTimeout ? STATUS_GATEWAY_TIMEOUT : undefined;
    return refuseUnknown(`${end.cause}: ${end.error.message}`, context, status);
  };

  const send: PeerClient['send'] = async (address, request, sink, onSilent) => {
    let load: AdmissionLoad | undefined;
    let refusedOutcome: AttemptOutcome | undefined;
    let failedStatus: number | undefined;
    let rawHeaders: readonly string[] = [];
    const checkHead = (raw: readonly string[]) => {
      rawHeaders = raw;
      load = parseLoad(findHeader(raw, hopHeaders.load));
      return undefined;
    };
    const { pool, checkEnd } = poolOf(address);
    const end = await exchange(pool, {
      method: request.method,
      path: request.path,
      headers: [...request.headers, HOP_HEADER, formatHop(request, clock.now())],
      body: request.body,
    }, {
      ...sink,
      start: (status, headers, endsWithConnection) => {
        const refusal = decodeRefusal(status, rawHeaders, address);
        if (refusal !== undefined) {
          const reachedInstance = findHeader(rawHeaders, hopHeaders.reached) !== undefined;
          refusedOutcome = { kind: 'refused', refusal, reachedInstance };
          return 'drain';
        }
        const use = sink.start(status, headers, endsWithConnection);
        if (use === 'drain') failedStatus = status;
        return use;
      },
      drained: (body) => {
        if (failedStatus !== undefined) sink.drained?.(body);
      },
    }, {
      clock,
      signal: request.signal,
      deadlineAt: request.deadlineAt + DEADLINE_SLACK_MS,
      endDeadlineAt: request.deadlineAt + BODY_SLACK_MS,
      headProgressTimeoutMs: isIdempotent(request.kind)
        ? MAX_PEER_SILENCE_MS
        : Number.POSITIVE_INFINITY,
      onSilent: () => {
        markSuspect(address, 'no progress in time');
        onSilent?.();
      },
      bodyProgressTimeoutMs: BODY_STALL_MS,
      checkHead,
      checkEnd,
    });
    if (refusedOutcome !== undefined) return { outcome: refusedOutcome, load };
    if (failedStatus !== undefined) {
      return { outcome: { kind: 'failed', status: failedStatus }, load };
    }
    return { outcome: toOutcome(end, address, request.deadlineAt), load };
  };

  const closePool = (address: string) => {
    const known = pools.get(address);
    pools.delete(address);
    suspectUntil.delete(address);
    // The pool closes after its requests in flight have finished.
    return known?.pool.close();
  };

  return {
    send,
    isSuspect,
    retain: (addresses) => {
      for (const address of [...pools.keys()]) {
        if (!addresses.has(address)) closePool(address)?.catch(() => undefined);
      }
    },
    close: async () => {
      await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
    },
  };
};
