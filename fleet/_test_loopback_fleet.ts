import process from 'node:process';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import {
  type PlatformInstance, type PlatformStoreServer, startPlatformInstance, startPlatformStore,
} from '../standins/mod.ts';
import { type Logger, noopLogger } from '../telemetry/mod.ts';
import { type FleetNode, startFleetNode } from './start_fleet_node.ts';

/** A host of a fleet that runs on the loopback interface. */
export interface LoopbackHost {
  readonly settings: PlatformSettings;
  readonly node: FleetNode;
  readonly instance: PlatformInstance;
}

/** A fleet on the loopback interface with a stand-in store. */
export interface LoopbackFleet {
  readonly server: PlatformStoreServer;
  readonly hosts: readonly LoopbackHost[];
  /** Publishes a contract, optionally with a route for one more prefix; it is safe by default. */
  readonly publish: (
    version: number, extraPrefix?: string, extraKind?: RouteKind,
  ) => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Options of a fleet on the loopback interface. */
export interface LoopbackFleetOptions {
  readonly logger?: Logger;
  /** Time in ms that an instance takes for a request. */
  readonly workMs?: number | ((path: string) => number);
  /** Timeout of all routes in ms. */
  readonly timeoutMs?: number;
  /** Time in ms for which instances are cold, with a bound of 9 requests in any second. */
  readonly coldMs?: number;
  /** Bound in ms of an evacuation; by default, the platform evacuates no failure domain. */
  readonly evacuationMs?: number;
  /** Era of the store; it has no eras by default. */
  readonly storeEra?: number;
  /** Returns the address through which the first host reaches the store. */
  readonly reachStoreThrough?: (address: string) => Promise<string>;
}

/**
 * Published routes: `/keyed/` is partitioned by key, `/orders/` must not run twice, `/calls/` has
 * the priority of nested calls.
 */
const routesOf = (extraPrefix?: string, extraKind: RouteKind = 'safe') => [
  { prefix: '/calls/', kind: 'safe', service: 'orders' },
  { prefix: '/keyed/', kind: 'safe', service: 'ledger' },
  { prefix: '/orders/', kind: 'unsafe', service: 'orders' },
  { prefix: '/reads/', kind: 'safe', service: 'orders' },
  ...(extraPrefix === undefined ? [] : [
    { prefix: extraPrefix, kind: extraKind, service: 'orders' },
  ]),
];

const DEFAULT_TIMEOUT_MS = 1000;

const contractOf = (
  version: number,
  timeoutMs: number,
  extraPrefix?: string,
  extraKind?: RouteKind,
) => JSON.stringify({
  version,
  resources: [
    ...routesOf(extraPrefix, extraKind).map(({ prefix, kind, service }) => ({
      resource_type: 'routes',
      metadata: { name: `r${prefix}` },
      spec: {
        host: 'shop.example',
        prefix,
        route_type: kind,
        timeout: `${timeoutMs}ms`,
        target_latency: '300ms',
        priority: prefix === '/calls/' ? 0 : 1,
        max_attempts: 2,
        service,
      },
    })),
    { resource_type: 'services', metadata: { name: 'ledger' }, spec: { sharded: true } },
    { resource_type: 'services', metadata: { name: 'orders' }, spec: { cold_per_s: 4 } },
  ],
});

/** Ports of a host, all below the range from which the system assigns ports. */
const ports = {
  caller: 18_620, peer: 18_621, readiness: 18_622, announcements: 18_623, metrics: 18_624,
} as const;

/** First three bytes of the addresses of this process, so that two processes share none. */
const SUBNET = `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}`;
const HOSTS_PER_SUBNET = 250;
let startedHosts = 0;

/** Returns a loopback address of a host's own, at which no instance or client binds a port. */
const nextAddress = () => {
  const host = 1 + (startedHosts % HOSTS_PER_SUBNET);
  startedHosts += 1;
  return `${SUBNET}.${host}`;
};

/** Settings that the nodes of tests have in common. */
export const commonSettings = {
  region: 'r',
  instanceAddress: '',
  isFirstStart: false,
  announceIntervalMs: 200,
  bounds: {
    drainMs: 2000,
    graceMs: 6000,
    maxHoldMs: 10_000,
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    extraRetries: 600,
  },
  linkMegabitsPerSecond: 1000,
  store: { writesPerSecond: 400, readsPerSecond: 2000 },
} as const;

/** Starts one host, with a node and an instance, for each of the services. */
export const startLoopbackFleet = async (
  services: readonly string[],
  {
    logger = noopLogger, workMs, timeoutMs = DEFAULT_TIMEOUT_MS, coldMs, evacuationMs, storeEra,
    reachStoreThrough,
  }: LoopbackFleetOptions = {},
): Promise<LoopbackFleet> => {
  const clock = createSystemClock();
  const server = await startPlatformStore(clock);
  if (storeEra !== undefined) server.store.setEra(storeEra);
  const publish: LoopbackFleet['publish'] = async (version, extraPrefix, extraKind) => {
    const key = 'op/config';
    const found = (await server.store.get(key))._unsafeUnwrap();
    await server.store.transact({
      expect: [{ key, revision: found?.revision ?? 0 }],
      puts: [{ key, value: contractOf(version, timeoutMs, extraPrefix, extraKind) }],
    });
  };
  await publish(1);
  const hosts: LoopbackHost[] = [];
  for (const [index, service] of services.entries()) {
    const address = nextAddress();
    const storeAddress = index === 0 && reachStoreThrough !== undefined
      ? await reachStoreThrough(server.address)
      : server.address;
    const settings: PlatformSettings = {
      node: `host-${index}`,
      ...commonSettings,
      failureDomain: `d${index % 2}`,
      service,
      bounds: {
        ...commonSettings.bounds,
        ...(coldMs === undefined ? {} : { coldExcess: 1.5, coldSlack: 3 }),
        evacuationMs,
      },
      listen: {
        caller: `${address}:${ports.caller}`,
        peer: `${address}:${ports.peer}`,
        readiness: `${address}:${ports.readiness}`,
        announcements: `${address}:${ports.announcements}`,
      },
      store: { ...commonSettings.store, address: storeAddress },
    };
    const node = await startFleetNode(settings, {
      clock, logger, metricsPort: ports.metrics,
    });
    const instance = await startPlatformInstance({
      service,
      announceAddress: settings.listen.announcements,
      ...(workMs === undefined ? {} : { workMs }),
      ...(coldMs === undefined ? {} : { coldMs }),
    });
    hosts.push({ settings, node, instance });
  }
  return {
    server,
    hosts,
    publish,
    stop: async () => {
      for (const { instance } of hosts) instance.kill();
      await Promise.all(hosts.map(({ node }) => node.kill()));
      await server.close();
    },
  };
};
