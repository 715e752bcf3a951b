import type { Clock } from '../clock/mod.ts';

/**
 * `running`: all requests are accepted. `leaving`: all requests are accepted, but each connection
 * is closed after its request. `closing`: only nested calls of running requests are accepted, since
 * other requests might not end in time. `closed`: no request is accepted.
 */
export type ShutdownPhase = 'running' | 'leaving' | 'closing' | 'closed';

/** Tracks the phase of a graceful shutdown and the requests in flight that it waits for. */
export interface ShutdownTracker {
  readonly phase: () => ShutdownPhase;
  /**
   * Enters `leaving`. Requests accepted from now on must be answered by `answerBy`, monotonic in
   * ms.
   */
  readonly leave: (answerBy: number) => void;
  /**
   * Enters `closing`, and `closed` at the moment at which no request is in flight, at the latest
   * at the time given to `leave`. Resolves in `closed`.
   */
  readonly close: () => Promise<void>;
  /** Time by which requests must be answered, monotonic in ms; infinite while `running`. */
  readonly answerBy: () => number;
  /** Counts a request as in flight until the returned function is called. */
  readonly trackRequest: () => () => void;
  /** Returns the number of requests in flight. */
  readonly activeRequests: () => number;
}

/**
 * Creates the tracker of a running node, without requests in flight.
 *
 * @param clock Clock for the time limit.
 * @returns The tracker, in the phase `running`.
 *
 * @example
 * response.once('close', shutdown.trackRequest());
 */
export const createShutdownTracker = (clock: Clock): ShutdownTracker => {
  let phase: ShutdownPhase = 'running';
  let answerBy = Number.POSITIVE_INFINITY;
  let activeRequests = 0;
  let setClosed = () => undefined as void;

  const closed = new Promise<void>((resolve) => {
    setClosed = () => {
      phase = 'closed';
      resolve();
    };
  });

  return {
    phase: () => phase,
    leave: (time) => {
      if (phase !== 'running') return;
      phase = 'leaving';
      answerBy = time;
    },
    close: async () => {
      if (phase === 'closing' || phase === 'closed') return closed;
      phase = 'closing';
      if (activeRequests === 0) setClosed();
      else {
        const cancel = clock.schedule(answerBy - clock.now(), setClosed);
        closed.then(cancel, cancel);
      }
      return closed;
    },
    answerBy: () => answerBy,
    trackRequest: () => {
      activeRequests += 1;
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        activeRequests -= 1;
        // In the same turn, so that no request is accepted between the last one and the exit.
        if (phase === 'closing' && activeRequests === 0) setClosed();
      };
    },
    activeRequests: () => activeRequests,
  };
};
