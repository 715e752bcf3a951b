import type { Clock } from '../clock/mod.ts';

/** Limits the requests to targets that refuse most of them for want of capacity. */
export interface TargetThrottle {
  /**
   * Returns whether to send a request to a target; one that is not sent counts as refused.
   *
   * @param target Name of the instance.
   * @param isLate The request cannot meet its latency target any more.
   */
  readonly admit: (target: string, isLate: boolean) => boolean;
  /** Records whether a target took a request that was sent to it. */
  readonly recordEnd: (target: string, isLate: boolean, isAccepted: boolean) => void;
}

/** Options of a target throttle. */
export interface TargetThrottleOptions {
  readonly clock: Clock;
  /** Returns uniform numbers from 0 to less than 1. */
  readonly random: () => number;
}

interface DecayingCounts {
  requests: number;
  accepted: number;
  countedAt: number;
}

const HALF_LIFE_MS = 2000;
/** Requests sent for each one that the target takes; the others find out when it has room again. */
const SENT_PER_ACCEPTED = 2;
/** Keeps a few refusals from stopping the requests to a target. */
const PRIOR_REQUESTS = 2;
const MAX_TARGETS = 512;

/**
 * Creates a throttle that sends everything. Each node decides by its own requests, with a
 * probability that grows with the fraction that the target refuses. Without it, the owner of a key
 * with more requests than it can serve spends its processor time on refusals, and the callers'
 * nodes on hops that are in vain.
 *
 * @param options Clock and random source.
 * @returns The throttle.
 *
 * @example
 * if (!throttle.admit(target.instance, isLate)) return refusal;
 */
export const createTargetThrottle = (options: TargetThrottleOptions): TargetThrottle => {
  const { clock, random } = options;
  const countsByTarget = new Map<string, DecayingCounts>();

  const countsOf = (target: string, isLate: boolean) => {
    // Targets serve late requests after the others, and so refuse most of them.
    const name = isLate ? `${target} late` : target;
    const now = clock.now();
    const known = countsByTarget.get(name);
    if (known === undefined) {
      if (countsByTarget.size >= MAX_TARGETS) countsByTarget.clear();
      const counts = { requests: 0, accepted: 0, countedAt: now };
      countsByTarget.set(name, counts);
      return counts;
    }
    const factor = 2 ** ((known.countedAt - now) / HALF_LIFE_MS);
    known.requests *= factor;
    known.accepted *= factor;
    known.countedAt = now;
    return known;
  };

  return {
    admit: (target, isLate) => {
      const counts = countsOf(target, isLate);
      const excess = counts.requests - counts.accepted * SENT_PER_ACCEPTED;
      const isAdmitted = random() >= excess / (counts.requests + 1 + PRIOR_REQUESTS);
      // A request in flight says nothing yet about the target.
      if (!isAdmitted) counts.requests += 1;
      return isAdmitted;
    },
    recordEnd: (target, isLate, isAccepted) => {
      const counts = countsOf(target, isLate);
      counts.requests += 1;
      if (isAccepted) counts.accepted += 1;
    },
  };
};
