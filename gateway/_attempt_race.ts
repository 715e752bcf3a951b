import type { ResponseSink } from '../forward/mod.ts';

/** One of the concurrent attempts of a request. */
export interface RacingAttempt {
  /** Aborts when the caller has gone or another attempt delivers its response. */
  readonly signal: AbortSignal;
  readonly sink: ResponseSink;
  /** Lets another attempt deliver its response after this one failed before it sent anything. */
  readonly forfeit: () => void;
}

/** Delivers the response of that attempt of a request which begins one first. */
export interface AttemptRace {
  /** Adds an attempt that writes to `sink` once its response is to be delivered. */
  readonly enter: (sink: ResponseSink) => RacingAttempt;
  /** Returns whether a response has begun. */
  readonly isWon: () => boolean;
  /** Ends the race once all attempts have ended or been aborted. */
  readonly close: () => void;
}

/**
 * Creates the race of the attempts of one request.
 *
 * @param signal Aborts when the caller has gone.
 * @returns The race, without attempts.
 *
 * @example
 * const attempt = createAttemptRace(request.signal).enter(sink);
 */
export const createAttemptRace = (signal: AbortSignal): AttemptRace => {
  const entered: AbortController[] = [];
  let winner: AbortController | undefined;

  const abortLosers = () => {
    for (const attempt of entered) if (attempt !== winner) attempt.abort();
  };
  const abortAll = () => {
    winner = undefined;
    abortLosers();
  };
  signal.addEventListener('abort', abortAll);

  return {
    enter: (sink) => {
      const attempt = new AbortController();
      if (signal.aborted) attempt.abort();
      entered.push(attempt);
      return {
        signal: attempt.signal,
        sink: {
          ...sink,
          start: (status, headers) => {
            if (winner !== undefined) return 'cancel';
            const action = sink.start(status, headers);
            if (action === 'deliver') {
              winner = attempt;
              abortLosers();
            }
            return action;
          },
        },
        forfeit: () => {
          if (winner === attempt) winner = undefined;
        },
      };
    },
    isWon: () => winner !== undefined,
    close: () => signal.removeEventListener('abort', abortAll),
  };
};
