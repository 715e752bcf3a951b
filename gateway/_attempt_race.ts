import type { ResponseSink } from '../forward/mod.ts';

/** One of the concurrent attempts of a request. */
export interface RacingAttempt {
  /** Aborts when the caller has gone or another attempt delivers its response. */
  readonly signal: AbortSignal;
  readonly sink: ResponseSink;
  /** Records that this attempt failed before a part of its body had arrived. */
  readonly forfeit: () => void;
}

/** Delivers the response of that attempt of a request whose body begins first. */
export interface AttemptRace {
  /** Adds an attempt; `start` decides what to do with the head of its response. */
  readonly enter: (handlers: Pick<ResponseSink, 'start' | 'hold' | 'held'>) => RacingAttempt;
  /** Returns whether a response is expected to be delivered. */
  readonly isWon: () => boolean;
  /** Ends the race and aborts the attempts whose response is still being held. */
  readonly close: () => void;
}

interface Head {
  readonly status: number;
  readonly headers: string[];
}

/**
 * Creates the race of the attempts of one request. A head alone decides nothing, since its response
 * can still fail while another attempt is at work.
 *
 * @param signal Aborts when the caller has gone.
 * @param sink Receives the response.
 * @returns The race, without attempts.
 *
 * @example
 * const attempt = createAttemptRace(request.signal, sink).enter(sink);
 */
export const createAttemptRace = (signal: AbortSignal, sink: ResponseSink): AttemptRace => {
  const entered = new Set<AbortController>();
  const heads = new Map<AbortController, Head>();
  /** Attempts whose response is held for a later delivery. */
  const holding = new Set<AbortController>();
  /** Attempt whose head the sink has got last. */
  let shown: AbortController | undefined;
  let winner: AbortController | undefined;

  const abortAllBut = (kept?: AbortController) => {
    for (const attempt of entered) if (attempt !== kept) attempt.abort();
  };
  const abortAll = () => abortAllBut();
  signal.addEventListener('abort', abortAll);

  /** Returns whether the attempt delivers its response. */
  const win = (attempt: AbortController) => {
    if (winner !== undefined) return winner === attempt;
    winner = attempt;
    const head = heads.get(attempt);
    if (head !== undefined && shown !== attempt) sink.start(head.status, head.headers);
    abortAllBut(attempt);
    return true;
  };

  return {
    enter: ({ start, hold, held }) => {
      const attempt = new AbortController();
      if (signal.aborted) attempt.abort();
      entered.add(attempt);
      return {
        signal: attempt.signal,
        sink: {
          ...sink,
          ...(hold && { hold }),
          ...(held && { held }),
          start: (status, headers) => {
            if (winner !== undefined) return 'cancel';
            const action = start(status, headers);
            if (action === 'deliver') {
              heads.set(attempt, { status, headers });
              shown = attempt;
            }
            if (action === 'hold') holding.add(attempt);
            return action;
          },
          write: (chunk) => !win(attempt) || sink.write(chunk),
          end: () => {
            if (win(attempt)) sink.end();
          },
        },
        forfeit: () => {
          heads.delete(attempt);
        },
      };
    },
    isWon: () => winner !== undefined || heads.size > 0,
    close: () => {
      signal.removeEventListener('abort', abortAll);
      for (const attempt of holding) attempt.abort();
    },
  };
};
