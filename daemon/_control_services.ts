import { randomBytes, randomUUID } from 'node:crypto';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import { createMembership, type Membership } from '../membership/mod.ts';
import { createGrpcTransport, type GrpcTransport } from '../peer/mod.ts';
import { createPlacements, type RunningPlacements } from '../placement/mod.ts';
import type { HttpListener } from '../proxy/mod.ts';
import { createRelay, type Relay } from '../relay/mod.ts';
import {
  callsPerSecondPerNode, createGuardedStore, createHttpStore, type Store,
} from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { createContracts } from './contracts.ts';
import type { Settings } from './settings.ts';

/** Bound addresses of the listeners of a node. */
export interface NodeAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly control: string;
  readonly operator: string;
}

const PLACEMENT_PREFIX = 'placement/';

/** Creates an identifier of this run of the process. Its wall-clock part helps to read logs. */
export const createIncarnationId = (clock: Clock): string => (
  `${Math.floor(clock.wallTime()).toString(36)}-${randomBytes(4).toString('hex')}`
);

/** Registers the transport, the store and the services that replicate state over the fleet. */
export const registerControlServices = (
  kernel: Kernel,
  settings: Settings,
  incarnation: string,
): void => {
  const { register } = kernel;

  register<GrpcTransport>({
    name: 'transport',
    needs: ['clock', 'logger'],
    start: async (find) => {
      const transport = await createGrpcTransport({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger').forComponent('peer'),
        self: { node: settings.node, incarnation },
        listenAddress: settings.listen.control,
        credential: settings.credentials.fleet,
        tls: settings.tls,
      });
      return { service: transport, stop: transport.close };
    },
  });

  register<Store>({
    name: 'store',
    needs: ['clock'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const { url, timeoutMs, callsPerSecond } = settings.store;
      const httpStore = createHttpStore({ clock, url, callTimeoutMs: timeoutMs });
      const nodeCount = () => (kernel.isRunning('membership')
        ? find<Membership>('membership').members().length
        : 1);
      const service = createGuardedStore(httpStore, {
        clock,
        callsPerSecond: callsPerSecond ?? (() => callsPerSecondPerNode(nodeCount())),
      });
      return { service, stop: httpStore.close };
    },
  });

  register<Membership>({
    name: 'membership',
    needs: ['clock', 'logger', 'transport', 'store', 'peer-listener'],
    start: (find) => {
      const transport = find<GrpcTransport>('transport');
      const membership = createMembership({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger').forComponent('membership'),
        transport,
        self: {
          node: settings.node,
          incarnation,
          region: settings.region,
          failureDomain: settings.failureDomain,
          controlAddress: transport.address,
          peerAddress: find<HttpListener & { readonly address: string }>('peer-listener').address,
          instances: [],
        },
        seeds: settings.seeds,
        store: find<Store>('store'),
      });
      return { service: membership, stop: membership.stop };
    },
  });

  register<Relay>({
    name: 'relay',
    needs: ['clock', 'logger', 'transport', 'store', 'membership'],
    start: (find) => {
      const relay = createRelay({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger').forComponent('relay'),
        transport: find<GrpcTransport>('transport'),
        store: find<Store>('store'),
        membership: find<Membership>('membership'),
      });
      return { service: relay, stop: relay.stop };
    },
  });

  register<RunningPlacements>({
    name: 'placements',
    needs: ['clock', 'logger', 'relay', 'store', 'random'],
    start: (find) => {
      const placements = createPlacements({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger').forComponent('placement'),
        relay: find<Relay>('relay'),
        store: find<Store>('store'),
        random: find<RandomGenerator>('random'),
        createWriterId: randomUUID,
      });
      return { service: placements, stop: placements.stop };
    },
  });

  register({
    name: 'contracts',
    needs: ['logger', 'relay', 'store'],
    start: (find) => {
      const contracts = createContracts({
        store: find<Store>('store'),
        relay: find<Relay>('relay'),
        logger: find<Logger>('logger').forComponent('contract'),
      });
      return { service: contracts, stop: contracts.stop };
    },
  });
};

/** Key prefixes of the entries whose versions are part of the status of a node. */
export const reportedPrefixes = ['contracts/', PLACEMENT_PREFIX] as const;
