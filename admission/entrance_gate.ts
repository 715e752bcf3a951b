import type { Clock } from '../clock/mod.ts';
import type { AdmissionLoad } from './admission.ts';
import { createRankedDemand, type RankedDemand } from './ranked_demand.ts';

/** A request of a caller for a service without keys. */
export interface EntranceRequest {
  readonly service: string;
  /** Priority of the route; 0 is the highest. */
  readonly rank: number;
  /** The request cannot meet its latency target any more. */
  readonly isLate: boolean;
  /** Number from 0 to less than 1; a caller that returns at once must get the same again. */
  readonly draw: number;
}

/** Decides at the node of the caller which requests are sent at all when a service has no room. */
export interface EntranceGate {
  /** Returns whether to send a request, and counts it. */
  readonly admit: (request: EntranceRequest) => boolean;
  /** Records that a request that was admitted was refused for want of room. */
  readonly recordRefused: (service: string) => void;
  /** Records what an instance reports of the nested calls of its runs. */
  readonly recordLoad: (service: string, load: Pick<AdmissionLoad, 'excess'>) => void;
}

/** Options of an entrance gate. */
export interface EntranceGateOptions {
  readonly clock: Clock;
  /** Called when the gate begins to hold back requests of a service, and 5 s after the last one. */
  readonly onChange?: (service: string, isHoldingBack: boolean) => void;
}

interface ServiceState {
  readonly demand: RankedDemand;
  sent: number;
  refused: number;
  countedAt: number;
  /** Moving average of the fraction of nested calls that fail. */
  callFailures: number;
  reportedAt: number;
  /** Runs are limited until all that are asked for have been sent for some time. */
  isLimitedByCalls: boolean;
  isHoldingBack: boolean;
  heldBackAt: number;
}

/** Room that comes back is noticed within about a second. */
const HALF_LIFE_MS = 700;
/** Requests to send for each one that is taken, so that the room of the instances stays in use. */
const SENT_PER_ACCEPTED = 1.1;
/** About one request a second shows when a service that took nothing has room again. */
const MIN_ROOM = 1;
/** Fraction of the requests that may be refused before any is held back. */
const MAX_REFUSED_FRACTION = 0.08;
/** A refusal now and then on a node with few requests is a matter of chance, not a lack of room. */
const MIN_REFUSED = 0.8;
/** Weighted fraction above which runs are limited; their number is steady at 0.09. */
const MAX_CALL_FAILURES = 0.1;
/** The number of runs of the highest ranks is steady where 4.5 % of the calls fail. */
const CALL_FAILURE_WEIGHT = 2;
/**
 * Lower ranks are steady at a lower fraction, so that they give way where runs of several services
 * call the same one: the calls carry the rank of their own route.
 */
const RANK_WEIGHT = 0.5;
/** Ranks below 1 that the weight tells apart; 0 and 1 count alike. */
const MAX_WEIGHTED_STEPS = 6;
/** Reports follow a change of the number of runs by a second or two. */
const MIN_FACTOR = 0.9;
/** Time without a request held back after which the calls no longer limit the runs. */
const CALL_LIMIT_MS = 1000;
const MAX_REPORT_AGE_MS = 3000;
const REPORT_WEIGHT = 0.3;
/** Bounds the log lines while requests are held back now and then. */
const QUIET_MS = 5000;
/** Above the services of a contract. */
const MAX_SERVICES = 1024;

const weightOf = (rank: number) => (
  CALL_FAILURE_WEIGHT * (1 + RANK_WEIGHT * Math.min(MAX_WEIGHTED_STEPS, Math.max(0, rank - 1)))
);

/**
 * Creates a gate that admits everything. Once the instances of a service refuse a part of what is
 * sent, the node sends little more than they take: first the higher ranks, within a rank first the
 * requests that can still meet their target. What is held back is refused here, without a hop.
 *
 * Where nested calls of the runs find no room, fewer runs are sent, although their service has
 * room: a run whose call fails has taken a slot and calls of other services in vain.
 *
 * The state is this node's own attempts. The reports of single instances are a second old, and
 * with many instances one of them nearly always reports a free slot that is taken by now.
 *
 * @param options Clock and a callback for log lines.
 * @returns The gate.
 *
 * @example
 * if (!gate.admit({ service, rank: route.priority, isLate, draw })) return refusal;
 */
export const createEntranceGate = (options: EntranceGateOptions): EntranceGate => {
  const { clock } = options;
  const states = new Map<string, ServiceState>();

  const stateOf = (service: string): ServiceState => {
    const known = states.get(service);
    if (known !== undefined) return known;
    if (states.size >= MAX_SERVICES) states.clear();
    const state = {
      demand: createRankedDemand(clock, HALF_LIFE_MS),
      sent: 0,
      refused: 0,
      countedAt: clock.now(),
      callFailures: 0,
      reportedAt: -Infinity,
      isLimitedByCalls: false,
      isHoldingBack: false,
      heldBackAt: -Infinity,
    };
    states.set(service, state);
    return state;
  };

  const add = (state: ServiceState, sent: number, refused: number) => {
    const now = clock.now();
    const factor = 2 ** ((state.countedAt - now) / HALF_LIFE_MS);
    Object.assign(state, {
      sent: state.sent * factor + sent, refused: state.refused * factor + refused, countedAt: now,
    });
  };

  const updateCallLimit = (rank: number, state: ServiceState) => {
    const now = clock.now();
    if (now - state.reportedAt > MAX_REPORT_AGE_MS) Object.assign(state, { callFailures: 0 });
    const isFailing = state.callFailures * weightOf(rank) > MAX_CALL_FAILURES;
    if (isFailing || now - state.heldBackAt > CALL_LIMIT_MS) {
      Object.assign(state, { isLimitedByCalls: isFailing });
    }
  };

  /** Number of requests to send within about the half-life. */
  const roomOf = (rank: number, {
    sent, refused, callFailures, isLimitedByCalls,
  }: ServiceState) => {
    if (isLimitedByCalls) {
      const factor = SENT_PER_ACCEPTED * (1 - weightOf(rank) * callFailures);
      return Math.max(MIN_ROOM, (sent - refused) * Math.max(MIN_FACTOR, factor));
    }
    if (refused <= Math.max(MIN_REFUSED, sent * MAX_REFUSED_FRACTION)) return Infinity;
    return Math.max(MIN_ROOM, (sent - refused) * SENT_PER_ACCEPTED);
  };

  const reportChange = (service: string, state: ServiceState) => {
    const isHoldingBack = clock.now() - state.heldBackAt < QUIET_MS;
    if (state.isHoldingBack === isHoldingBack) return;
    Object.assign(state, { isHoldingBack });
    options.onChange?.(service, isHoldingBack);
  };

  return {
    admit: ({
      service, rank, isLate, draw,
    }) => {
      const state = stateOf(service);
      add(state, 0, 0);
      updateCallLimit(rank, state);
      state.demand.record(rank, isLate);
      const room = roomOf(rank, state);
      const isAdmitted = room === Infinity
        || draw < state.demand.fractionWithin(rank, isLate, room);
      // Taken until it is refused, so that the time of a run does not look like a refusal.
      if (isAdmitted) add(state, 1, 0);
      else Object.assign(state, { heldBackAt: clock.now() });
      reportChange(service, state);
      return isAdmitted;
    },
    recordRefused: (service) => add(stateOf(service), 0, 1),
    recordLoad: (service, { excess }) => {
      const fraction = excess?.callFailures ?? 0;
      const state = stateOf(service);
      const callFailures = state.callFailures + (fraction - state.callFailures) * REPORT_WEIGHT;
      Object.assign(state, { callFailures, reportedAt: clock.now() });
    },
  };
};
