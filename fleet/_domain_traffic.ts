import type { Clock } from '../clock/mod.ts';
import type { FleetView, NodeEntry } from '../directory/mod.ts';
import type { PeerClientOptions } from '../gateway/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import {
  createRoundTripTimes, createSpillover, createTransferSizes, type Spillover,
} from '../routing/mod.ts';
import type { Logger, NodeMetrics } from '../telemetry/mod.ts';

/** What this node knows of the traffic between failure domains. */
export interface DomainTraffic {
  /** Undefined without a price in the settings. */
  readonly spillover: Spillover | undefined;
  /** Listeners of the peer client, from which round trips and sizes are learned. */
  readonly peerListeners: Pick<PeerClientOptions, 'onRoundTrip' | 'onTransfer'>;
}

/** Slots and domains of the nodes, listed once for each change of the directory. */
interface DomainIndex {
  readonly slotsByPlace: ReadonlyMap<string, number>;
  readonly domainByAddress: ReadonlyMap<string, string>;
}

const placeOf = (service: string, domain: string) => JSON.stringify([service, domain]);

const indexDomains = (entries: readonly NodeEntry[]): DomainIndex => {
  const slotsByPlace = new Map<string, number>();
  const domainByAddress = new Map<string, string>();
  for (const {
    peerAddress, failureDomain, instance, isStopping,
  } of entries) {
    domainByAddress.set(peerAddress, failureDomain);
    if (instance === undefined || isStopping) continue;
    if (instance.state === 'down' || instance.state === 'draining') continue;
    const place = placeOf(instance.service, failureDomain);
    slotsByPlace.set(place, (slotsByPlace.get(place) ?? 0) + instance.slots);
  }
  return { slotsByPlace, domainByAddress };
};

/** Registers the spillover, which is inactive while the settings name no price. */
export const registerDomainTraffic = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<DomainTraffic>({
    name: 'domain-traffic',
    needs: ['clock', 'logger', 'fleet', 'metrics'],
    start: (find) => {
      const { crossDomain } = settings;
      if (crossDomain === undefined) {
        return { service: { spillover: undefined, peerListeners: {} } };
      }
      const fleet = find<FleetView>('fleet');
      const roundTrips = createRoundTripTimes();
      const sizes = createTransferSizes();
      let index: DomainIndex | undefined;
      fleet.onChange(() => {
        index = undefined;
      });
      const currentIndex = () => {
        index ??= indexDomains(fleet.usable());
        return index;
      };
      return {
        service: {
          spillover: createSpillover({
            clock: find<Clock>('clock'),
            ownDomain: settings.failureDomain,
            costMsPerKilobyte: crossDomain.costMsPerKilobyte,
            roundTrips,
            sizes,
            slotsOf: (service, domain) => (
              currentIndex().slotsByPlace.get(placeOf(service, domain)) ?? 0
            ),
            logger: find<Logger>('logger'),
            onShare: find<NodeMetrics>('metrics').setSpilloverShare,
          }),
          peerListeners: {
            onRoundTrip: (address, roundTripMs) => {
              const domain = currentIndex().domainByAddress.get(address);
              if (domain !== undefined) roundTrips.record(domain, roundTripMs);
            },
            onTransfer: sizes.record,
          },
        },
      };
    },
  });
};
