import { serve, type ServerType } from '@hono/node-server';
import { createServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { Kernel } from '../kernel/mod.ts';
import type { Membership } from '../membership/mod.ts';
import { type GrpcTransport, loadTlsMaterial, type PeerTlsFiles } from '../peer/mod.ts';
import type { Placements, Placer } from '../placement/mod.ts';
import { splitAddress } from '../proxy/mod.ts';
import type { Status } from '../proto/mod.ts';
import type { Announcements } from './announcements.ts';
import type { Contracts } from './contracts.ts';
import type { NodeStatusSource } from './_node_status.ts';
import { createOperatorApi, type NodeStatus } from './operator_api.ts';
import type { Settings } from './settings.ts';

/** HTTP listener for operators and for the announcements of upstreams. */
export interface OperatorListener {
  readonly address: string;
}

const STATUS_TIMEOUT_MS = 1000;
const TLS_HANDSHAKE_TIMEOUT_MS = 2000;
/** Number of nodes that are queried at a time for the status of the fleet. */
const STATUS_CONCURRENCY = 16;

/** Creates a function that queries the status of all members, in batches. */
const createFleetStatusQuery = (
  membership: Membership,
  transport: GrpcTransport,
  localStatus: () => Status,
) => {
  const queryNode = async (node: string, address: string): Promise<NodeStatus> => {
    if (node === membership.self().node) return { node, status: localStatus(), error: undefined };
    const reply = await transport.request(
      address,
      { $case: 'statusQuery', value: {} },
      { timeoutMs: STATUS_TIMEOUT_MS },
    );
    if (reply.isErr()) return { node, status: undefined, error: reply.error.message };
    const body = reply.value;
    if (body.$case === 'status') return { node, status: body.value, error: undefined };
    return { node, status: undefined, error: `unexpected answer ${body.$case}` };
  };

  return async (): Promise<readonly NodeStatus[]> => {
    const members = [...membership.members()];
    members.sort((left, right) => (left.node < right.node ? -1 : 1));
    const statuses: NodeStatus[] = [];
    for (let start = 0; start < members.length; start += STATUS_CONCURRENCY) {
      const batch = members.slice(start, start + STATUS_CONCURRENCY);
      const queries = batch.map(({ node, controlAddress }) => queryNode(node, controlAddress));
      statuses.push(...await Promise.all(queries));
    }
    return statuses;
  };
};

const closeServer = (server: ServerType) => new Promise<void>((resolve) => {
  server.close(() => resolve());
  if ('closeAllConnections' in server) server.closeAllConnections();
});

/** Returns the options of a server which requires a client certificate of the authority. */
const loadServerOptions = async (files: PeerTlsFiles | undefined) => {
  if (files === undefined) return {};
  const serverOptions = {
    ...await loadTlsMaterial(files),
    requestCert: true,
    rejectUnauthorized: true,
    handshakeTimeout: TLS_HANDSHAKE_TIMEOUT_MS,
  };
  return { createServer, serverOptions };
};

/** Registers the listener for operators and for the announcements of upstreams. */
export const registerOperatorServices = (
  kernel: Kernel,
  settings: Settings,
  drain: () => Promise<void>,
): void => {
  kernel.register<OperatorListener>({
    name: 'operator-listener',
    needs: ['contracts', 'announcements', 'placements', 'placer', 'membership', 'status'],
    start: async (find) => {
      const { localStatus } = find<NodeStatusSource>('status');
      const app = createOperatorApi({
        contracts: find<Contracts>('contracts'),
        announcements: find<Announcements>('announcements'),
        placement: find<Placements>('placements').current,
        status: localStatus,
        fleetStatus: createFleetStatusQuery(
          find<Membership>('membership'),
          find<GrpcTransport>('transport'),
          localStatus,
        ),
        confirmLost: find<Placer>('placer').confirmLost,
        drain,
      }, settings.credentials);
      const { host: hostname, port } = splitAddress(settings.listen.operator);
      const tlsOptions = await loadServerOptions(settings.tls);
      const server = await new Promise<ServerType>((resolve, reject) => {
        const listening = serve({
          fetch: app.fetch, hostname, port, ...tlsOptions,
        }, () => resolve(listening));
        listening.once('error', reject);
      });
      const { port: bound } = server.address() as AddressInfo;
      return {
        service: { address: `${hostname}:${bound}` },
        stop: () => closeServer(server),
      };
    },
  });
};
