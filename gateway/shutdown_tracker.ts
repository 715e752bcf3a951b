import type { Clock } from '../clock/mod.ts';

/**
 * `running`: all requests are accepted. `leaving`: all requests are accepted, but each connection
 * is closed after its request. `closing`: only nested calls of running requests are accepted, since
 * other requests might not end in time.
 */
export type ShutdownPhase = 'running' | 'leaving' | 'closing';

/** Tracks the phase of a graceful shutdown and the requests in flight that it waits for. */
export interface ShutdownTracker {
  readonly phase: () => ShutdownPhase;
  readonly setPhase: (phase: ShutdownPhase) => void;
  /** Counts a request as in flight until the returned function is called. */
  readonly trackRequest: () => () => void;
  /** Resolves when no request is in flight, at the latest at `deadlineAt`, monotonic in ms. */
  readonly waitForIdle: (deadlineAt: number) => Promise<void>;
  /** Returns the number of requests in flight. */
  readonly activeRequests: () => number;
}

const POLL_INTERVAL_MS = 25;

/**
 * Creates the tracker of a running node, without requests in flight.
 *
 * @param clock Clock for the wait.
 * @returns The tracker, in the phase `running`.
 *
 * @example
 * const end = shutdown.begin();
 * response.once('close', end);
 */
export const createShutdownTracker = (clock: Clock): ShutdownTracker => {
  let phase: ShutdownPhase = 'running';
  let activeRequests = 0;
  return {
    phase: () => phase,
    setPhase: (next) => {
      phase = next;
    },
    trackRequest: () => {
      activeRequests += 1;
      let ended = false;
      return () => {
        if (!ended) activeRequests -= 1;
        ended = true;
      };
    },
    waitForIdle: async (deadlineAt) => {
      while (activeRequests > 0 && clock.now() < deadlineAt) await clock.sleep(POLL_INTERVAL_MS);
    },
    activeRequests: () => activeRequests,
  };
};
