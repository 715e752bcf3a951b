import { createRankedDemand, type ExcessDemand, type RankedDemand } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { type AcceptanceRate, createAcceptanceRate } from './acceptance_rate.ts';

/** Limits the requests to targets that refuse most of them for want of capacity. */
export interface TargetThrottle {
  /**
   * Returns whether to send a request to a target; one that is not sent counts as refused.
   *
   * @param target Name of the instance.
   * @param isLate The request cannot meet its latency target any more.
   * @param rank Priority of the request; those of a higher rank are withheld last.
   */
  readonly admit: (target: string, isLate: boolean, rank?: number) => boolean;
  /** Returns how many requests were not sent since the last call, for the target to count. */
  readonly takeWithheld: (target: string, isLate: boolean) => number;
  /** Records whether a target took a request that was sent to it. */
  readonly recordEnd: (target: string, isLate: boolean, isAccepted: boolean) => void;
  /** Records what a target reports of the requests of all senders. */
  readonly recordExcess: (target: string, excess: ExcessDemand | undefined) => void;
}

/** Options of a target throttle. */
export interface TargetThrottleOptions {
  readonly clock: Clock;
  /** Returns uniform numbers from 0 to less than 1. */
  readonly random: () => number;
}

interface TargetState {
  readonly own: AcceptanceRate;
  readonly demand: RankedDemand;
  withheld: number;
  reported: number;
  reportedAt: number;
}

const HALF_LIFE_MS = 2000;
/** An older report would withhold requests after the overload has passed. */
const MAX_REPORT_AGE_MS = 1000;
const SENT_PER_ACCEPTED = 2;
/** Above the instances of the largest fleet, each for timely and for late requests. */
const MAX_TARGETS = 2048;

/**
 * Creates a throttle that sends everything. The probability with which a request is sent falls with
 * the fraction that the target refuses: of the requests of this node, and, as the target reports
 * it, of those of all nodes, since in a large fleet each node sends too few to tell. Without it,
 * the owner of a key with more requests than it can serve spends its processor time on refusals,
 * and the callers' nodes on hops that are in vain.
 *
 * @param options Clock and random source.
 * @returns The throttle.
 *
 * @example
 * if (!throttle.admit(target.instance, isLate)) return refusal;
 */
export const createTargetThrottle = (options: TargetThrottleOptions): TargetThrottle => {
  const { clock, random } = options;
  const states = new Map<string, TargetState>();

  const stateOf = (target: string, isLate: boolean) => {
    // Targets serve late requests after the others, and so refuse most of them.
    const name = isLate ? `${target} late` : target;
    const known = states.get(name);
    if (known !== undefined) return known;
    if (states.size >= MAX_TARGETS) states.clear();
    const state: TargetState = {
      own: createAcceptanceRate({
        clock, halfLifeMs: HALF_LIFE_MS, sentPerAccepted: SENT_PER_ACCEPTED,
      }),
      demand: createRankedDemand(clock, HALF_LIFE_MS),
      withheld: 0,
      reported: 0,
      reportedAt: clock.now(),
    };
    states.set(name, state);
    return state;
  };

  const reportedExcess = ({ reported, reportedAt }: TargetState) => (
    clock.now() - reportedAt > MAX_REPORT_AGE_MS ? 0 : reported
  );

  return {
    admit: (target, isLate, rank = 0) => {
      const state = stateOf(target, isLate);
      const { demand } = state;
      demand.record(rank, isLate);
      const share = 1 - Math.max(state.own.excess(), reportedExcess(state));
      const isAdmitted = random() < demand.fractionWithin(rank, isLate, share * demand.total());
      // A request in flight says nothing yet about the target.
      if (!isAdmitted) {
        state.own.record(false);
        state.withheld += 1;
      }
      return isAdmitted;
    },
    takeWithheld: (target, isLate) => {
      const state = stateOf(target, isLate);
      const { withheld } = state;
      state.withheld = 0;
      return withheld;
    },
    recordEnd: (target, isLate, isAccepted) => stateOf(target, isLate).own.record(isAccepted),
    recordExcess: (target, excess) => {
      for (const isLate of [false, true]) {
        const state = stateOf(target, isLate);
        state.reported = (isLate ? excess?.late : excess?.timely) ?? 0;
        state.reportedAt = clock.now();
      }
    },
  };
};
