import { Agent } from 'undici';
import type { Clock } from '../clock/mod.ts';
import { parseSettings, type RunningNode, startNode } from '../daemon/mod.ts';
import { loadTlsMaterial, type PeerTlsFiles } from '../peer/mod.ts';
import { type Announcer, startAnnouncer } from './announcer.ts';
import { startStoreServer, type StoreServer } from './store_server.ts';
import {
  startUpstreamServer, type UpstreamBehaviour, type UpstreamServer,
} from './upstream_server.ts';

/** Configuration of one host of a stand-in fleet: a node and its upstream instance. */
export interface FleetHostPlan {
  readonly node: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly instance: string;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly behaviour?: Partial<UpstreamBehaviour>;
}

/** A running host. */
export interface FleetHost {
  readonly plan: FleetHostPlan;
  readonly node: RunningNode;
  readonly upstream: UpstreamServer;
  readonly announcer: Announcer;
  /** Stops node and upstream abruptly, as a crash of the host does. */
  readonly kill: () => Promise<void>;
  /** Drains and stops the node, then stops the upstream. */
  readonly stop: () => Promise<void>;
}

/** A fleet on loopback: store, nodes and upstreams in one process. */
export interface Fleet {
  readonly store: StoreServer;
  readonly hosts: readonly FleetHost[];
  readonly addHost: (plan: FleetHostPlan) => Promise<FleetHost>;
  readonly stop: () => Promise<void>;
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly clock: Clock;
  /** Stream that receives the log lines of all nodes. */
  readonly logStream: NodeJS.WritableStream;
  readonly logLevel?: 'debug' | 'info' | 'warn' | 'error';
  /** TLS files that all nodes share; without them connections are unencrypted. */
  readonly tls?: PeerTlsFiles;
}

/** Credentials of the stand-in fleet; they protect loopback sockets only. */
export const fleetCredentials = {
  fleet: 'stand-in-fleet-credential',
  operator: 'stand-in-operator-credential',
  announce: 'stand-in-announce-credential',
} as const;

const FREE_ADDRESS = '127.0.0.1:0';

const settingsFor = (
  plan: FleetHostPlan,
  storeUrl: string,
  seeds: readonly string[],
  options: FleetOptions,
) => {
  const parsed = parseSettings(JSON.stringify({
    node: plan.node,
    region: plan.region,
    failureDomain: plan.failureDomain,
    listen: {
      caller: FREE_ADDRESS, peer: FREE_ADDRESS, control: FREE_ADDRESS, operator: FREE_ADDRESS,
    },
    store: { url: storeUrl },
    seeds,
    credentials: fleetCredentials,
    log: { level: options.logLevel ?? 'info' },
    ...(options.tls === undefined ? {} : { tls: options.tls }),
  }), plan.node);
  if (parsed.isErr()) throw parsed.error;
  return parsed.value;
};

/**
 * Starts a fleet on the loopback interface, one host after the other.
 *
 * @param plans Configuration of the hosts.
 * @param options Clock, logging and TLS.
 * @returns The running fleet.
 *
 * @example
 * const fleet = await startFleet(plans, { clock: createSystemClock(), logStream });
 */
export const startFleet = async (
  plans: readonly FleetHostPlan[],
  options: FleetOptions,
): Promise<Fleet> => {
  const { clock, logStream } = options;
  const store = await startStoreServer({ clock });
  const hosts: FleetHost[] = [];
  const dispatcher = options.tls && new Agent({ connect: await loadTlsMaterial(options.tls) });
  const operatorScheme = options.tls === undefined ? 'http' : 'https';

  const addHost: Fleet['addHost'] = async (plan) => {
    const seeds = hosts.slice(0, 3).map((host) => host.node.addresses.control);
    const settings = settingsFor(plan, store.url, seeds, options);
    const node = await startNode(settings, { clock, logStream });
    const upstream = await startUpstreamServer({
      clock,
      instance: plan.instance,
      behaviour: { maxConcurrentRequests: plan.slots, ...plan.behaviour },
    });
    const announcer = await startAnnouncer({
      instance: plan.instance,
      service: plan.service,
      url: upstream.url,
      slots: plan.slots,
      connections: plan.connections,
      weight: plan.slots,
    }, {
      clock,
      operatorUrl: `${operatorScheme}://${node.addresses.operator}`,
      credential: fleetCredentials.announce,
      dispatcher,
    });
    const host: FleetHost = {
      plan,
      node,
      upstream,
      announcer,
      kill: async () => {
        announcer.stop();
        hosts.splice(hosts.indexOf(host), 1);
        await Promise.all([node.kill(), upstream.kill()]);
      },
      stop: async () => {
        await node.stop();
        announcer.stop();
        hosts.splice(hosts.indexOf(host), 1);
        await upstream.kill();
      },
    };
    hosts.push(host);
    return host;
  };

  for (const plan of plans) await addHost(plan);

  return {
    store,
    hosts,
    addHost,
    stop: async () => {
      const running = [...hosts];
      for (const host of running) host.announcer.stop();
      await Promise.all(running.map((host) => host.node.kill()));
      await Promise.all(running.map((host) => host.upstream.kill()));
      await store.close();
      await dispatcher?.destroy();
    },
  };
};
