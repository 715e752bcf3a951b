import { type ChildProcess, fork } from 'node:child_process';
import type { Clock } from '../clock/mod.ts';
import { CONTRACT_KEY, type PlatformSettings } from '../platform/mod.ts';
import {
  type PlatformInstance, type PlatformStoreServer, startPlatformInstance, startPlatformStore,
} from '../standins/mod.ts';
import type {
  GatewayCommand, GatewayNode, GatewayReply, GatewayRole,
} from './_gateway_process.ts';

/** A child process of the benchmark. */
export interface GatewayChild {
  readonly address: string;
  readonly send: (command: GatewayCommand) => Promise<GatewayReply>;
  readonly end: () => void;
}

/** A fleet whose first two nodes run in processes of their own. */
export interface GatewayFleet {
  readonly callerAddress: string;
  /** The processes of the first two nodes: the ingress, and the one beside the instance. */
  readonly nodes: readonly GatewayChild[];
  readonly instance: PlatformInstance;
  readonly end: () => Promise<void>;
}

/** Service of the ingress, and of the instance that serves the requests. */
const SERVICES = ['ledger', 'orders'];
/** Below the range of ports that the system assigns to outgoing connections. */
const LISTEN_PORTS = [7001, 7002, 7003, 7004];
const METRICS_PORT = 7005;
const MAX_SUBNET = 250;
const SLOTS = 64;
const ANNOUNCE_INTERVAL_MS = 870;
const FAILURE_DOMAINS = 3;

const contract = JSON.stringify({
  version: 1,
  resources: [
    {
      resource_type: 'routes',
      metadata: { name: 'reads' },
      spec: {
        host: 'shop.example',
        prefix: '/reads/',
        route_type: 'safe',
        timeout: '1000ms',
        target_latency: '300ms',
        priority: 1,
        max_attempts: 2,
        service: 'orders',
      },
    },
    { resource_type: 'services', metadata: { name: 'ledger' }, spec: { sharded: true } },
    { resource_type: 'services', metadata: { name: 'orders' }, spec: {} },
  ],
});

const nextMessage = (child: ChildProcess) => new Promise<GatewayReply>((resolve, reject) => {
  child.once('message', (message) => resolve(message as GatewayReply));
  child.once('exit', (status) => reject(new Error(`a child process exited with status ${status}`)));
});

/** Starts a child process; resolves once it listens. */
export const startGatewayChild = async (role: GatewayRole): Promise<GatewayChild> => {
  const child = fork(new URL('./_gateway_process.ts', import.meta.url), [JSON.stringify(role)], {
    execArgv: ['--import', 'tsx'],
  });
  const { address = '' } = await nextMessage(child);
  return {
    address,
    send: (command) => {
      const reply = nextMessage(child);
      child.send(command);
      return reply;
    },
    end: () => child.kill('SIGKILL'),
  };
};

const createNode = (index: number, store: PlatformStoreServer): GatewayNode => {
  // Every host has a loopback address of its own, which differs between benchmark processes.
  const host = `127.${1 + (process.pid % MAX_SUBNET)}.0.${index + 1}`;
  const [caller, peer, readiness, announcements] = LISTEN_PORTS.map((port) => `${host}:${port}`);
  const settings: PlatformSettings = {
    node: `host-${index}`,
    region: 'r',
    failureDomain: `d${index % FAILURE_DOMAINS}`,
    service: SERVICES[index] ?? SERVICES[0]!,
    instanceAddress: '',
    isFirstStart: false,
    linkMegabitsPerSecond: 1000,
    announceIntervalMs: ANNOUNCE_INTERVAL_MS,
    bounds: {
      drainMs: 2000,
      graceMs: 6000,
      maxHoldMs: 10_000,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      extraRetries: 600,
    },
    listen: {
      caller: caller!, peer: peer!, readiness: readiness!, announcements: announcements!,
    },
    store: { address: store.address, writesPerSecond: 400, readsPerSecond: 2000 },
  };
  return { settings, metricsPort: METRICS_PORT };
};

/**
 * Starts a fleet with an instance beside each node.
 *
 * @param hosts Number of hosts.
 * @param workMs Duration of a request at an instance.
 */
export const startGatewayFleet = async (
  clock: Clock,
  hosts: number,
  workMs: number,
): Promise<GatewayFleet> => {
  const store = await startPlatformStore(clock);
  await store.store.transact({
    expect: [{ key: CONTRACT_KEY, revision: 0 }], puts: [{ key: CONTRACT_KEY, value: contract }],
  });
  const nodes = Array.from({ length: hosts }, (_, index) => createNode(index, store));
  const children = await Promise.all([
    ...nodes.slice(0, SERVICES.length).map((node) => [node]),
    ...(hosts > SERVICES.length ? [nodes.slice(SERVICES.length)] : []),
  ].map((group) => startGatewayChild({ role: 'nodes', nodes: group })));
  const instances = await Promise.all(nodes.map(({ settings }) => startPlatformInstance({
    service: settings.service,
    announceAddress: settings.listen.announcements,
    slots: SLOTS,
    workMs,
    announceIntervalMs: ANNOUNCE_INTERVAL_MS,
  })));
  return {
    callerAddress: nodes[0]!.settings.listen.caller,
    nodes: children.slice(0, SERVICES.length),
    instance: instances[1]!,
    end: async () => {
      for (const child of children) child.end();
      for (const instance of instances) instance.kill();
      await store.close();
    },
  };
};
