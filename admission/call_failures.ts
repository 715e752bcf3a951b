import type { Clock } from '../clock/mod.ts';

/** Measures which fraction of the nested calls of the local instance finds no room. */
export interface CallFailures {
  /** Counts a nested call that ended. */
  readonly record: (isWithoutRoom: boolean) => void;
  /** Fraction of the recent calls that found no room; 0 with few calls. */
  readonly fraction: () => number;
}

const HALF_LIFE_MS = 1000;
/** Fewer calls within about the half-life do not tell a lack of room from a coincidence. */
const MIN_CALLS = 2;

/**
 * Creates a measurement without calls.
 *
 * @param clock Clock.
 * @returns The measurement.
 *
 * @example
 * failures.record(isWithoutRoom(outcome));
 * const load = { ...queue.load(), callFailures: failures.fraction() };
 */
export const createCallFailures = (clock: Clock): CallFailures => {
  let calls = 0;
  let failed = 0;
  let countedAt = clock.now();

  const decay = () => {
    const now = clock.now();
    const factor = 2 ** ((countedAt - now) / HALF_LIFE_MS);
    calls *= factor;
    failed *= factor;
    countedAt = now;
  };

  return {
    record: (isWithoutRoom) => {
      decay();
      calls += 1;
      if (isWithoutRoom) failed += 1;
    },
    fraction: () => {
      decay();
      return calls < MIN_CALLS ? 0 : failed / calls;
    },
  };
};
