import type { Clock } from '../clock/mod.ts';
import { RefusalError, StepError } from '../errors/mod.ts';
import {
  attemptId, type AttemptResult, type CancelReply, FORWARD_STEP, type Forwarder,
  HEAD_PROGRESS_TIMEOUT_MS, type HopRequest, type RequestLedger,
} from '../forward/mod.ts';
import type { LocalDispatch } from '../proxy/mod.ts';

/** In-memory endpoint through which peers call a node. */
export interface PeerEndpoint {
  /** Runs a request of a peer; calls `progress` periodically while the request is running. */
  readonly run: (request: HopRequest, progress: () => void) => Promise<BufferedEnd>;
  readonly cancel: (id: string, ageMs: number) => CancelReply;
}

/** Outcome of an attempt with the buffered response. */
interface BufferedEnd {
  readonly end: AttemptResult;
  readonly status: number;
  readonly chunks: readonly Buffer[];
}

/** Links of one process to its peers; a message or its reply may be lost. */
export interface PeerLinks {
  /**
   * Runs the task at the receiving process, on its clock; `endpoint` is undefined if the receiver
   * refuses connections. `reply` runs a callback at the sending process, on its clock.
   */
  readonly send: (
    to: string,
    task: (endpoint: PeerEndpoint | undefined, reply: (answer: () => void) => void) => void,
  ) => void;
}

/** Dependencies of a peer endpoint. */
export interface PeerEndpointOptions {
  readonly clock: Clock;
  readonly ledger: RequestLedger;
  readonly dispatch: LocalDispatch;
}

/** Dependencies of an in-memory forwarder. */
export interface MemoryForwarderOptions {
  readonly clock: Clock;
  readonly links: PeerLinks;
}

const CANCEL_TIMEOUT_MS = 500;
const PROGRESS_REPORTS_PER_TIMEOUT = 3;

const refusedEnd = (refusal: RefusalError, timedOut = false): AttemptResult => ({
  kind: 'refused', refusal, load: undefined, timedOut,
});

/** Creates the endpoint that dispatches and cancels the requests of peers. */
export const createPeerEndpoint = (options: PeerEndpointOptions): PeerEndpoint => {
  const { clock, ledger, dispatch } = options;

  const run: PeerEndpoint['run'] = async (request, progress) => {
    const id = attemptId(request.requestId, request.attempt);
    const abort = new AbortController();
    const begun = ledger.begin(id, () => abort.abort());
    if (begun !== 'begun') {
      const refusal = new RefusalError(`the attempt was ${begun}`, {
        step: 'peer.accept', status: 409, outcome: begun === 'refused' ? 'not run' : 'unknown',
      });
      return { end: refusedEnd(refusal), status: 0, chunks: [] };
    }
    const chunks: Buffer[] = [];
    let status = 0;
    let running = true;
    const intervalMs = HEAD_PROGRESS_TIMEOUT_MS[request.requestClass]
      / PROGRESS_REPORTS_PER_TIMEOUT;
    const reportProgress = () => {
      if (!running) return;
      progress();
      clock.schedule(intervalMs, reportProgress);
    };
    clock.schedule(intervalMs, reportProgress);
    try {
      const end = await dispatch({ ...request, signal: abort.signal }, {
        start: (given) => {
          status = given;
          return 'deliver';
        },
        write: (chunk) => chunks.push(chunk) > 0,
        onDrain: () => undefined,
        end: () => undefined,
      });
      return { end, status, chunks };
    } finally {
      running = false;
      ledger.finish(id);
    }
  };

  return { run, cancel: ledger.cancel };
};

/** Creates an in-memory forwarder with the timeouts and cancellations of the HTTP forwarder. */
export const createMemoryForwarder = (options: MemoryForwarderOptions): Forwarder => {
  const { clock, links } = options;

  const cancelAtPeer = (peer: string, request: HopRequest, sentAt: number) => (
    new Promise<CancelReply | 'no answer'>((resolve) => {
      const id = attemptId(request.requestId, request.attempt);
      clock.schedule(CANCEL_TIMEOUT_MS, () => resolve('no answer'));
      links.send(peer, (endpoint, reply) => {
        const state = endpoint?.cancel(id, Math.ceil(clock.now() - sentAt)) ?? 'no answer';
        reply(() => resolve(state));
      });
    })
  );

  const refuse = (
    peer: string,
    outcome: 'not run' | 'unknown',
    reason: string,
    timedOut = false,
  ) => refusedEnd(new RefusalError(reason, {
    step: FORWARD_STEP, peer, status: timedOut ? 504 : 502, outcome,
  }), timedOut);

  const settleTimeout = async (peer: string, request: HopRequest, sentAt: number) => {
    if (request.requestClass !== 'submission') {
      cancelAtPeer(peer, request, sentAt);
      return refuse(peer, 'unknown', 'no progress in time', true);
    }
    const reply = await cancelAtPeer(peer, request, sentAt);
    return reply === 'never seen'
      ? refuse(peer, 'not run', 'the peer never received the request', true)
      : refuse(peer, 'unknown', `no progress in time; the peer replied: ${reply}`, true);
  };

  const exchange = (peer: string, request: HopRequest) => (
    new Promise<BufferedEnd | 'silent' | 'closed'>((resolve) => {
      const progressTimeoutMs = HEAD_PROGRESS_TIMEOUT_MS[request.requestClass];
      let progressAt = clock.now();
      let cancelCheck = () => undefined as void;
      const settle = (outcome: BufferedEnd | 'silent' | 'closed') => {
        cancelCheck();
        resolve(outcome);
      };
      const checkProgress = () => {
        const dueAt = Math.min(progressAt + progressTimeoutMs, request.deadlineAt);
        if (clock.now() >= dueAt) settle('silent');
        else cancelCheck = clock.schedule(dueAt - clock.now(), checkProgress);
      };
      checkProgress();
      links.send(peer, async (endpoint, reply) => {
        if (endpoint === undefined) {
          reply(() => settle('closed'));
          return;
        }
        const buffered = await endpoint.run(request, () => reply(() => {
          progressAt = clock.now();
        }));
        reply(() => settle(buffered));
      });
    })
  );

  const send: Forwarder['send'] = async (peer, request, sink) => {
    const sentAt = clock.now();
    const outcome = await exchange(peer, request);
    if (outcome === 'closed') return refuse(peer, 'not run', 'the connection was refused');
    if (outcome === 'silent') return settleTimeout(peer, request, sentAt);
    const { end, status, chunks } = outcome;
    if (end.kind === 'refused') return end;
    if (sink.start(status, []) !== 'deliver') return refuse(peer, 'unknown', 'the sink refused it');
    for (const chunk of chunks) sink.write(chunk);
    if (end.kind === 'answered') {
      sink.end();
      return end;
    }
    const error = new StepError('the answer was truncated', { step: FORWARD_STEP, peer });
    return { kind: 'truncated', error };
  };

  return { send, stop: async () => undefined };
};
