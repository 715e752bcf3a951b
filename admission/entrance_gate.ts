import type { Clock } from '../clock/mod.ts';
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
const MAX_REFUSED_FRACTION = 0.05;
/** A single refusal on a node with few requests holds nothing back after a half-life. */
const MIN_REFUSED = 0.5;
/** Bounds the log lines while requests are held back now and then. */
const QUIET_MS = 5000;
/** Above the services of a contract. */
const MAX_SERVICES = 1024;

/**
 * Creates a gate that admits everything. Once the instances of a service refuse a part of what is
 * sent, the node sends little more than they take: first the higher ranks, within a rank first the
 * requests that can still meet their target. What is held back is refused here, without a hop.
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

  /** Number of requests to send within about the half-life. */
  const roomOf = ({ sent, refused }: ServiceState) => {
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
      state.demand.record(rank, isLate);
      const room = roomOf(state);
      const isAdmitted = room === Infinity
        || draw < state.demand.fractionWithin(rank, isLate, room);
      // Taken until it is refused, so that the time of a run does not look like a refusal.
      if (isAdmitted) add(state, 1, 0);
      else Object.assign(state, { heldBackAt: clock.now() });
      reportChange(service, state);
      return isAdmitted;
    },
    recordRefused: (service) => add(stateOf(service), 0, 1),
  };
};
