import type { ExcessDemand } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { createAcceptanceRate } from './acceptance_rate.ts';
import type { GatewayRequest } from './request.ts';

/** A request as its demand is counted. */
export type DemandRequest = Pick<
  GatewayRequest,
  'isNestedCall' | 'latencyTargetAt' | 'withheld'
>;

/** Measures at the node of an instance how much of the demand of all senders it can take. */
export interface DemandMeter {
  /**
   * Counts the requests that the sender of this one withheld before it.
   *
   * @returns Counts the request itself, to be called once it is known whether it was taken.
   */
  readonly open: (request: DemandRequest) => (isAccepted: boolean) => void;
  /** Counts a request that the instance itself ran or refused. */
  readonly recordInstance: (isAccepted: boolean) => void;
  /** Returns whether to send a request to the instance, which may refuse most of them. */
  readonly admit: () => boolean;
  readonly excess: () => ExcessDemand;
}

/** Options of a demand meter. */
export interface DemandMeterOptions {
  readonly clock: Clock;
  /** Returns uniform numbers from 0 to less than 1; `Math.random` by default. */
  readonly random?: () => number;
}

/** The node sees the requests of the whole fleet, so that a second holds enough of them. */
const HALF_LIFE_MS = 1000;
/** Keeps the slots busy although the senders withhold requests at random. */
const SENT_PER_ACCEPTED = 2;
/** Some refusals at low load are no lack of capacity. */
const MIN_REQUESTS = 8;
/** One that refuses some requests at random may still take the next one. */
const SENT_PER_RUN = 5;
/** Nodes send few requests to an instance that refuses most of them. */
const INSTANCE_HALF_LIFE_MS = 3000;

/**
 * Creates a meter without requests. Nested calls are not counted: they are sent at any load.
 *
 * @param options Clock and random source.
 * @returns The meter.
 *
 * @example
 * const recordEnd = meter.open(request);
 * recordEnd(permit.isOk());
 * const { timely } = meter.excess();
 */
export const createDemandMeter = (options: DemandMeterOptions): DemandMeter => {
  const { clock, random = Math.random } = options;
  const createDemandRate = () => createAcceptanceRate({
    clock, halfLifeMs: HALF_LIFE_MS, sentPerAccepted: SENT_PER_ACCEPTED, minRequests: MIN_REQUESTS,
  });
  const timely = createDemandRate();
  const late = createDemandRate();
  const instance = createAcceptanceRate({
    clock,
    halfLifeMs: INSTANCE_HALF_LIFE_MS,
    sentPerAccepted: SENT_PER_RUN,
    minRequests: MIN_REQUESTS,
  });

  return {
    open: (request) => {
      const now = clock.now();
      if (request.isNestedCall === true) return () => undefined;
      const rate = request.latencyTargetAt > now ? timely : late;
      if (request.withheld > 0) rate.record(false, request.withheld);
      return rate.record;
    },
    recordInstance: instance.record,
    admit: () => {
      const isAdmitted = random() >= instance.excess();
      if (!isAdmitted) instance.record(false);
      return isAdmitted;
    },
    excess: () => {
      const refused = instance.excess();
      return {
        timely: Math.max(timely.excess(), refused), late: Math.max(late.excess(), refused),
      };
    },
  };
};
