import type { Clock } from '../clock/mod.ts';

/**
 * How a request to the instance ended. The instance may be at work on one that this node abandoned
 * until its deadline; of one that is lost, it closed the connection without an answer.
 */
export type WorkEnd = 'answered' | 'abandoned' | 'lost';

/** Tracks the requests that a process of the instance may be at work on. */
export interface UnfinishedWork {
  /**
   * Records a request that is being sent with a remaining time in ms; returns the function to call
   * once when it has ended.
   */
  readonly begin: (remainingMs: number) => (end: WorkEnd) => void;
  /** Records a sign of life: an accepted connection or a part of a response. */
  readonly recordLife: () => void;
  /** Returns whether the process may be at work on a request. */
  readonly exists: () => boolean;
}

interface Work {
  /** Monotonic time in ms by which the process stops work on the request. */
  readonly endsAt: number;
  /** Whether the connection of the request is open. */
  isOpen: boolean;
}

/** Allows for the time of a request on its way, after which its remaining time is counted. */
const TRANSIT_MS = 100;
/** Allows for an instance's clock that runs 2 % slow. */
const CLOCK_DRIFT_FACTOR = 1.02;
/** Responses that were sent before the connections closed may be read this much later. */
const READ_LAG_MS = 100;

/**
 * Creates a tracker without work. An instance may go on with a request whose connection was closed,
 * until the deadline that it was told. Only if it closed the connection of a request and has shown
 * no sign of life since, as when its process ends, is all work taken for ended.
 *
 * @param clock Clock.
 * @returns The tracker.
 *
 * @example
 * const work = createUnfinishedWork(clock);
 * const end = work.begin(remainingMs);
 * end('answered');
 */
export const createUnfinishedWork = (clock: Clock): UnfinishedWork => {
  const unfinished = new Set<Work>();
  /** Monotonic time in ms of the last lost request, unless a sign of life followed. */
  let lostAt: number | undefined;

  const removeExpired = () => {
    for (const work of unfinished) {
      if (!work.isOpen && clock.now() >= work.endsAt) unfinished.delete(work);
    }
  };

  return {
    begin: (remainingMs) => {
      const endsAt = clock.now() + TRANSIT_MS + remainingMs * CLOCK_DRIFT_FACTOR;
      const work: Work = { endsAt, isOpen: true };
      unfinished.add(work);
      return (end) => {
        work.isOpen = false;
        if (end === 'answered') unfinished.delete(work);
        if (end === 'lost') lostAt = clock.now();
        if (end !== 'answered') removeExpired();
      };
    },
    recordLife: () => {
      if (lostAt !== undefined && clock.now() - lostAt > READ_LAG_MS) lostAt = undefined;
    },
    exists: () => {
      removeExpired();
      for (const { isOpen } of unfinished) if (isOpen || lostAt === undefined) return true;
      return false;
    },
  };
};
