/** Round trip times to the nodes of each failure domain, learned from requests. */
export interface RoundTripTimes {
  /**
   * Records an attempt at a node of a domain.
   *
   * @param domain Failure domain of the node.
   * @param roundTripMs Time from sending to the head of the response, less the time that the
   * destination reports for itself.
   */
  readonly record: (domain: string, roundTripMs: number) => void;
  /** Returns the round trip in ms to a domain; `undefined` before the first attempt. */
  readonly of: (domain: string) => number | undefined;
}

/** Weight of a sample below the estimate. */
const DECREASE_WEIGHT = 0.2;
/**
 * Weight of a sample above the estimate. Waits for a connection or for the event loop lengthen
 * single samples and say nothing about the path, so the estimate stays near the shortest samples.
 */
const INCREASE_WEIGHT = 0.02;
/** A longer time is that of a retransmission or of a suspended host. */
const MAX_ROUND_TRIP_MS = 1000;

/**
 * Creates round trip times without samples.
 *
 * @returns The round trip times.
 *
 * @example
 * roundTrips.record('zone-b', durationToHeadMs - destinationMs);
 * roundTrips.of('zone-b'); // 9.2
 */
export const createRoundTripTimes = (): RoundTripTimes => {
  const estimateByDomain = new Map<string, number>();
  return {
    record: (domain, roundTripMs) => {
      if (!(roundTripMs <= MAX_ROUND_TRIP_MS)) return;
      const sample = Math.max(0, roundTripMs);
      const known = estimateByDomain.get(domain);
      const weight = known === undefined || sample < known ? DECREASE_WEIGHT : INCREASE_WEIGHT;
      const estimate = known === undefined ? sample : known + (sample - known) * weight;
      estimateByDomain.set(domain, estimate);
    },
    of: (domain) => estimateByDomain.get(domain),
  };
};
