import type { Clock } from '../clock/mod.ts';

/**
 * `running`: all requests are accepted. `leaving`: all requests are accepted, but each connection
 * is closed after its request. `closing`: only proven nested calls of requests in flight are
 * accepted. `closed`: no request is accepted.
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
  /** Marks the stop as planned, also one that was begun by an exception. */
  readonly markPlanned: () => void;
  /**
   * Sets the monotonic time in ms until which the rules of a stop hold on the host, for which an
   * earlier process got the signal; there was none by default.
   */
  readonly followStop: (endsAt: number) => void;
  /**
   * Returns whether a client that ends its side of a connection still gets its responses: in a
   * planned stop, and while the stop of an earlier process may last.
   */
  readonly keepsHalfOpen: () => boolean;
  /**
   * Enters `closing`, and `closed` at the moment at which no request is in flight, at the latest
   * at the time given to `leave`. Resolves in `closed`.
   */
  readonly close: () => Promise<void>;
  /** Time by which requests must be answered, monotonic in ms; infinite while `running`. */
  readonly answerBy: () => number;
  /**
   * Returns whether a request of the caller listener with this deadline, monotonic in ms, is
   * accepted. While `closing`, it must be proven to be a nested call, and must expire with a
   * request in flight, as nested calls do.
   */
  readonly mayAccept: (deadlineAt: number, isProvenCall?: boolean) => boolean;
  /** Counts a request with this deadline as in flight until the returned function is called. */
  readonly trackRequest: (deadlineAt: number) => () => void;
  /** Returns the number of requests in flight. */
  readonly activeRequests: () => number;
}

/** Time in ms that a nested call and the request that makes it may spend between processes. */
const MAX_TRANSIT_MS = 250;

interface TrackedRequest {
  readonly deadlineAt: number;
}

/**
 * Creates the tracker of a running node, without requests in flight.
 *
 * @param clock Clock for the time limit.
 * @returns The tracker, in the phase `running`.
 *
 * @example
 * response.once('close', shutdown.trackRequest(deadlineAt));
 */
export const createShutdownTracker = (clock: Clock): ShutdownTracker => {
  let phase: ShutdownPhase = 'running';
  let answerBy = Number.POSITIVE_INFINITY;
  let isPlanned = false;
  let earlierStopEndsAt = -Infinity;
  const active = new Set<TrackedRequest>();
  let setClosed = () => undefined as void;

  const closed = new Promise<void>((resolve) => {
    setClosed = () => {
      phase = 'closed';
      resolve();
    };
  });

  const latestDeadline = () => {
    let latest = -Infinity;
    for (const { deadlineAt } of active) latest = Math.max(latest, deadlineAt);
    return latest;
  };

  return {
    phase: () => phase,
    leave: (time) => {
      if (phase !== 'running') return;
      phase = 'leaving';
      answerBy = time;
    },
    markPlanned: () => {
      isPlanned = true;
    },
    followStop: (endsAt) => {
      earlierStopEndsAt = endsAt;
    },
    keepsHalfOpen: () => (
      clock.now() < earlierStopEndsAt || (isPlanned && phase !== 'running')
    ),
    close: async () => {
      if (phase === 'closing' || phase === 'closed') return closed;
      phase = 'closing';
      if (active.size === 0) setClosed();
      else {
        const cancel = clock.schedule(answerBy - clock.now(), setClosed);
        closed.then(cancel, cancel);
      }
      return closed;
    },
    answerBy: () => answerBy,
    mayAccept: (deadlineAt, isProvenCall = false) => {
      if (phase === 'closing') {
        return isProvenCall && deadlineAt <= Math.min(latestDeadline() + MAX_TRANSIT_MS, answerBy);
      }
      return phase !== 'closed';
    },
    trackRequest: (deadlineAt) => {
      const request = {
        deadlineAt: phase === 'closing' ? Math.min(deadlineAt, latestDeadline()) : deadlineAt,
      };
      active.add(request);
      return () => {
        active.delete(request);
        // In the same turn, so that no request is accepted between the last one and the exit.
        if (phase === 'closing' && active.size === 0) setClosed();
      };
    },
    activeRequests: () => active.size,
  };
};
