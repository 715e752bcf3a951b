import type { Clock } from '../clock/mod.ts';
import { RefusalError, StepError } from '../errors/mod.ts';
import {
  attemptId, type AttemptEnd, type CancelReply, FORWARD_STEP, type Forwarder,
  HOP_PROGRESS_TIMEOUT_MS, type HopRequest, type RequestLedger,
} from '../forward/mod.ts';
import type { LocalDispatch } from '../proxy/mod.ts';

/** What one node does for the others in memory. */
export interface PeerEndpoint {
  /** Runs a request of a peer; `progress` tells it that the request is still running. */
  readonly run: (request: HopRequest, progress: () => void) => Promise<CollectedEnd>;
  readonly cancel: (id: string, ageMs: number) => CancelReply;
}

/** The end of an attempt with the answer that it delivered. */
interface CollectedEnd {
  readonly end: AttemptEnd;
  readonly status: number;
  readonly chunks: readonly Buffer[];
}

/** The links of one process to the others; a message or its reply may be lost. */
export interface Links {
  /**
   * Runs the task at the process of the receiver, on its clock; without an endpoint the receiver
   * refuses connections. `reply` runs a task at this process, on its clock.
   */
  readonly post: (
    to: string,
    task: (endpoint: PeerEndpoint | undefined, reply: (answer: () => void) => void) => void,
  ) => void;
}

/** Collaborators of a peer endpoint. */
export interface PeerEndpointOptions {
  readonly clock: Clock;
  readonly ledger: RequestLedger;
  readonly dispatch: LocalDispatch;
}

/** Collaborators of a forwarder in memory. */
export interface MemoryForwarderOptions {
  readonly clock: Clock;
  readonly links: Links;
}

const CANCEL_TIMEOUT_MS = 500;
const INTERIM_ANSWERS_PER_TIMEOUT = 3;

const refusedEnd = (refusal: RefusalError, timedOut = false): AttemptEnd => ({
  kind: 'refused', refusal, load: undefined, timedOut,
});

/** Creates what a node does with the requests of its peers. */
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
    const intervalMs = HOP_PROGRESS_TIMEOUT_MS[request.requestClass] / INTERIM_ANSWERS_PER_TIMEOUT;
    const sendInterim = () => {
      if (!running) return;
      progress();
      clock.schedule(intervalMs, sendInterim);
    };
    clock.schedule(intervalMs, sendInterim);
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

/** Creates the path to peers, with the silences and cancellations of the one over HTTP. */
export const createMemoryForwarder = (options: MemoryForwarderOptions): Forwarder => {
  const { clock, links } = options;

  const cancelAtPeer = (peer: string, request: HopRequest, sentAt: number) => (
    new Promise<CancelReply | 'no answer'>((resolve) => {
      const id = attemptId(request.requestId, request.attempt);
      clock.schedule(CANCEL_TIMEOUT_MS, () => resolve('no answer'));
      links.post(peer, (endpoint, reply) => {
        const state = endpoint?.cancel(id, Math.ceil(clock.now() - sentAt)) ?? 'no answer';
        reply(() => resolve(state));
      });
    })
  );

  const refuse = (
    peer: string,
    outcome: 'not run' | 'unknown',
    reason: string,
    isLate = false,
  ) => refusedEnd(new RefusalError(reason, {
    step: FORWARD_STEP, peer, status: isLate ? 504 : 502, outcome,
  }), isLate);

  const settleSilence = async (peer: string, request: HopRequest, sentAt: number) => {
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
    new Promise<CollectedEnd | 'silent' | 'closed'>((resolve) => {
      const silenceMs = HOP_PROGRESS_TIMEOUT_MS[request.requestClass];
      let progressAt = clock.now();
      let cancelWatch = () => undefined as void;
      const settle = (outcome: CollectedEnd | 'silent' | 'closed') => {
        cancelWatch();
        resolve(outcome);
      };
      const watch = () => {
        const dueAt = Math.min(progressAt + silenceMs, request.deadlineAt);
        if (clock.now() >= dueAt) settle('silent');
        else cancelWatch = clock.schedule(dueAt - clock.now(), watch);
      };
      watch();
      links.post(peer, async (endpoint, reply) => {
        if (endpoint === undefined) {
          reply(() => settle('closed'));
          return;
        }
        const collected = await endpoint.run(request, () => reply(() => {
          progressAt = clock.now();
        }));
        reply(() => settle(collected));
      });
    })
  );

  const send: Forwarder['send'] = async (peer, request, sink) => {
    const sentAt = clock.now();
    const outcome = await exchange(peer, request);
    if (outcome === 'closed') return refuse(peer, 'not run', 'the connection was refused');
    if (outcome === 'silent') return settleSilence(peer, request, sentAt);
    const { end, status, chunks } = outcome;
    if (end.kind === 'refused') return end;
    if (sink.start(status, []) !== 'deliver') return refuse(peer, 'unknown', 'it was not wanted');
    for (const chunk of chunks) sink.write(chunk);
    if (end.kind === 'answered') {
      sink.end();
      return end;
    }
    const error = new StepError('the answer broke off', { step: FORWARD_STEP, peer });
    return { kind: 'truncated', error };
  };

  return { send, stop: async () => undefined };
};
