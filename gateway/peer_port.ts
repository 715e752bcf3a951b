import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import {
  type AnswerSink,
  createWatchedPool,
  exchange,
  type ExchangeEnd,
  findHeader,
  hopHeaders,
  parseLoad,
  readRefusal,
  type WatchedPool,
} from '../forward/mod.ts';
import { formatHop, HOP_HEADER } from './_hop.ts';
import { refuseNotRun, refuseUnknown } from './_refusals.ts';
import { type AttemptOutcome, type GatewayRequest, isRepeatable } from './request.ts';

/** An attempt at a peer, and the load of its instance that came back. */
export interface PeerOutcome {
  readonly outcome: AttemptOutcome;
  readonly load: AdmissionLoad | undefined;
}

/** Sends requests to the nodes beside other instances. */
export interface PeerPort {
  readonly send: (
    address: string,
    request: GatewayRequest,
    sink: AnswerSink,
  ) => Promise<PeerOutcome>;
  /** The peer did not accept a connection or went silent a short time ago. */
  readonly isSuspect: (address: string) => boolean;
  /** Closes the connections to peers that no longer exist. */
  readonly retain: (addresses: ReadonlySet<string>) => void;
  readonly close: () => Promise<void>;
}

/** Options of the port. */
export interface PeerPortOptions {
  readonly clock: Clock;
  /** Called when a peer becomes suspect. */
  readonly onSuspect?: (address: string, reason: string) => void;
}

/** A host that is cut off drops the packets of a new connection. */
const CONNECT_TIMEOUT_MS = 300;
/** Below the idle time-out of the peers' listeners. */
const KEEP_ALIVE_MS = 30_000;
const MAX_CONNECTIONS = 128;
/**
 * A peer that is alive sends an interim answer three times in this time while a request waits or
 * runs, so a longer silence means that the connection or the host is dead.
 */
export const HOP_SILENCE_MS = 900;
/** The peer's own answer at the deadline is better than none. */
const DEADLINE_SLACK_MS = 80;
const BODY_STALL_MS = 10_000;
/** Time in ms for which a suspect peer gets no requests that others can serve. */
const SUSPECT_MS = 1200;
const RETRY_AFTER_MS = 150;
const STATUS_GATEWAY_TIMEOUT = 504;

/**
 * Creates the port to all peers.
 *
 * @param options Clock and listener.
 * @returns The port.
 *
 * @example
 * const { outcome, load } = await peers.send('10.0.0.2:7000', request, sink);
 */
export const createPeerPort = (options: PeerPortOptions): PeerPort => {
  const { clock, onSuspect = () => undefined } = options;
  const pools = new Map<string, WatchedPool>();
  const suspectUntil = new Map<string, number>();

  const poolOf = (address: string) => {
    const known = pools.get(address);
    if (known !== undefined) return known;
    const pool = createWatchedPool(address, {
      connections: MAX_CONNECTIONS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
    });
    pools.set(address, pool);
    return pool;
  };

  const isSuspect = (address: string) => (suspectUntil.get(address) ?? -Infinity) > clock.now();

  const suspect = (address: string, reason: string) => {
    const wasSuspect = isSuspect(address);
    suspectUntil.set(address, clock.now() + SUSPECT_MS);
    if (!wasSuspect) onSuspect(address, reason);
  };

  const toOutcome = (
    end: ExchangeEnd,
    address: string,
    deadlineAt: number,
  ): AttemptOutcome => {
    if (end.kind === 'complete') return { kind: 'answered', status: end.status };
    const place = { step: 'peer.send', peer: address };
    if (end.begun) return { kind: 'truncated', error: new StepError(end.error.message, place) };
    if (end.cause === 'silent' || (end.cause === 'connection' && !end.written)) {
      suspect(address, end.error.message);
    }
    if (!end.written) return refuseNotRun(end.error.message, RETRY_AFTER_MS, place);
    const isLate = end.cause === 'deadline' || clock.now() >= deadlineAt;
    const status = isLate ? STATUS_GATEWAY_TIMEOUT : undefined;
    return refuseUnknown(`${end.cause}: ${end.error.message}`, place, status);
  };

  const send: PeerPort['send'] = async (address, request, sink) => {
    let load: AdmissionLoad | undefined;
    let refused: AttemptOutcome | undefined;
    let failedStatus: number | undefined;
    let head: readonly string[] = [];
    const checkHead = (raw: readonly string[]) => {
      head = raw;
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
        const refusal = readRefusal(status, head, address);
        if (refusal !== undefined) {
          const reached = findHeader(head, hopHeaders.reached) !== undefined;
          refused = { kind: 'refused', refusal, reached };
          return 'drain';
        }
        const use = sink.start(status, headers, endsWithConnection);
        if (use === 'drain') failedStatus = status;
        return use;
      },
    }, {
      clock,
      signal: request.signal,
      deadlineAt: request.deadlineAt + DEADLINE_SLACK_MS,
      silenceMs: isRepeatable(request.kind) ? HOP_SILENCE_MS : Number.POSITIVE_INFINITY,
      stallMs: BODY_STALL_MS,
      checkHead,
      checkEnd,
    });
    if (refused !== undefined) return { outcome: refused, load };
    if (failedStatus !== undefined) {
      return { outcome: { kind: 'failed', status: failedStatus }, load };
    }
    return { outcome: toOutcome(end, address, request.deadlineAt), load };
  };

  const drop = (address: string) => {
    const known = pools.get(address);
    pools.delete(address);
    suspectUntil.delete(address);
    // Requests in flight finish; the pool closes after them.
    return known?.pool.close();
  };

  return {
    send,
    isSuspect,
    retain: (addresses) => {
      for (const address of [...pools.keys()]) {
        if (!addresses.has(address)) drop(address)?.catch(() => undefined);
      }
    },
    close: async () => {
      await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
    },
  };
};
