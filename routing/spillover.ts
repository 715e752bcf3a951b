import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { DomainPreference, InstanceView } from './choose_instance.ts';
import type { RoundTripTimes } from './round_trip_times.ts';
import { createServiceSpillover, type ServiceSpillover } from './_service_spillover.ts';
import type { TransferSizes } from './transfer_sizes.ts';

/** Decides which requests leave the failure domain of this node. */
export interface Spillover {
  /** Draws the failure domain of a request by the current shares of its service. */
  readonly prefer: (
    service: string,
    kind: RouteKind,
    views: readonly InstanceView[],
    random: () => number,
  ) => DomainPreference;
  /** Counts a request that went to another domain although the own one was preferred. */
  readonly recordOverflow: (service: string, domain: string) => void;
  /** Records the end of an attempt at an instance of a domain. */
  readonly report: (
    service: string,
    domain: string,
    outcome: string,
    load: AdmissionLoad | undefined,
  ) => void;
  /** Returns the fraction of the requests for a service that goes to each other domain. */
  readonly sharesOf: (service: string) => ReadonlyMap<string, number>;
}

/** Options of the spillover of a node. */
export interface SpilloverOptions {
  readonly clock: Clock;
  readonly ownDomain: string;
  /** Price in ms of each kilobyte that a request and its response take between domains. */
  readonly costMsPerKilobyte: number;
  readonly roundTrips: RoundTripTimes;
  readonly sizes: TransferSizes;
  /** Returns the slots of all usable instances of a service in a domain. */
  readonly slotsOf: (service: string, domain: string) => number;
  readonly logger: Logger;
  /** Called with each changed share. */
  readonly onShare?: (service: string, domain: string, share: number) => void;
}

/** Change of a share since its last log line that is logged. */
const LOGGED_CHANGE = 0.1;
const PERCENT = 100;

/**
 * Creates the spillover of a node. It keeps the load of each failure domain, learned from the
 * responses to this node's own requests, and recomputes the shares of a service at most four times
 * a second.
 *
 * @param options Clock, own domain, price, learned round trips and sizes, capacity and logger.
 * @returns The spillover; all requests stay until there are reports.
 *
 * @example
 * const preference = spillover.prefer('ledger', 'safe', views, Math.random);
 */
export const createSpillover = (options: SpilloverOptions): Spillover => {
  const { clock, roundTrips } = options;
  const logger = options.logger.forComponent('routing');
  const services = new Map<string, ServiceSpillover>();

  const createFor = (service: string): ServiceSpillover => {
    const recorded = new Map<string, number>();
    const logged = new Map<string, number>();
    const state: ServiceSpillover = createServiceSpillover({
      clock,
      ownDomain: options.ownDomain,
      slotsOf: (domain) => options.slotsOf(service, domain),
      roundTripMsOf: roundTrips.of,
      priceMsOf: (kind) => options.sizes.kilobytesOf(kind) * options.costMsPerKilobyte,
      onUpdate: (shares) => {
        for (const domain of new Set([...recorded.keys(), ...shares.keys()])) {
          const share = Math.round((shares.get(domain) ?? 0) * PERCENT) / PERCENT;
          if (share !== (recorded.get(domain) ?? 0)) options.onShare?.(service, domain, share);
          recorded.set(domain, share);
          const from = logged.get(domain) ?? 0;
          if (Math.abs(share - from) <= LOGGED_CHANGE) continue;
          logged.set(domain, share);
          logger.info({
            service,
            domain,
            share,
            from,
            ownLoad: state.loadOf(options.ownDomain),
            load: state.loadOf(domain),
            roundTripMs: roundTrips.of(domain),
          }, 'the share of requests sent to another failure domain changed');
        }
      },
    });
    services.set(service, state);
    return state;
  };
  const stateOf = (service: string) => services.get(service) ?? createFor(service);

  return {
    prefer: (service, kind, views, random) => {
      const state = stateOf(service);
      state.update(views);
      return {
        domain: state.draw(kind, random),
        overflowTo: (domain) => state.overflowTo(kind, domain),
      };
    },
    recordOverflow: (service, domain) => stateOf(service).recordOverflow(domain),
    report: (service, domain, outcome, load) => (
      stateOf(service).recordAttempt(domain, outcome, load)
    ),
    sharesOf: (service) => services.get(service)?.shares() ?? new Map(),
  };
};
