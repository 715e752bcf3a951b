import type { Clock } from '../clock/mod.ts';

/** Demand by rank and timeliness, with a half-life; shares out room in that order. */
export interface RankedDemand {
  /** Counts a request. */
  readonly record: (rank: number, isLate: boolean) => void;
  /**
   * Returns the fraction of the requests like this one for which there is room, after those of
   * higher ranks and, within the rank, after the timely ones.
   *
   * @param room Number of requests within about the half-life.
   */
  readonly fractionWithin: (rank: number, isLate: boolean, room: number) => number;
  /** Number of requests within about the half-life. */
  readonly total: () => number;
}

/** Contracts have few priorities; lower ones share the last class. */
const MAX_RANK = 7;

const classOf = (rank: number, isLate: boolean) => (
  2 * Math.min(MAX_RANK, Math.max(0, Math.floor(rank))) + Number(isLate)
);

/**
 * Creates a demand without requests.
 *
 * @param clock Clock.
 * @param halfLifeMs Time in ms after which a request counts half.
 * @returns The demand.
 *
 * @example
 * demand.record(rank, isLate);
 * const isAdmitted = draw < demand.fractionWithin(rank, isLate, room);
 */
export const createRankedDemand = (clock: Clock, halfLifeMs: number): RankedDemand => {
  const counts = new Float64Array(2 * (MAX_RANK + 1));
  let countedAt = clock.now();

  const decay = () => {
    const now = clock.now();
    if (now === countedAt) return;
    const factor = 2 ** ((countedAt - now) / halfLifeMs);
    for (let index = 0; index < counts.length; index += 1) counts[index]! *= factor;
    countedAt = now;
  };

  return {
    record: (rank, isLate) => {
      decay();
      counts[classOf(rank, isLate)]! += 1;
    },
    fractionWithin: (rank, isLate, room) => {
      decay();
      const own = classOf(rank, isLate);
      let ahead = 0;
      for (let index = 0; index < own; index += 1) ahead += counts[index]!;
      return Math.min(1, Math.max(0, (room - ahead) / Math.max(1, counts[own]!)));
    },
    total: () => {
      decay();
      return counts.reduce((sum, count) => sum + count, 0);
    },
  };
};
