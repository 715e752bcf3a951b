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

/** Listener for operators and announcements. */
export interface OperatorListener {
  readonly address: string;
}

const STATUS_TIMEOUT_MS = 1000;
const HANDSHAKE_TIMEOUT_MS = 2000;
const STATUS_CONCURRENCY = 16;

const createFleetStatus = (
  membership: Membership,
  transport: GrpcTransport,
  ownStatus: () => Status,
) => {
  const ask = async (node: string, address: string): Promise<NodeStatus> => {
    if (node === membership.self().node) return { node, status: ownStatus(), error: undefined };
    const answer = await transport.request(
      address,
      { $case: 'statusQuery', value: {} },
      { timeoutMs: STATUS_TIMEOUT_MS },
    );
    if (answer.isErr()) return { node, status: undefined, error: answer.error.message };
    const body = answer.value;
    if (body.$case === 'status') return { node, status: body.value, error: undefined };
    return { node, status: undefined, error: `unexpected answer ${body.$case}` };
  };

  return async (): Promise<readonly NodeStatus[]> => {
    const members = [...membership.members()];
    members.sort((left, right) => (left.node < right.node ? -1 : 1));
    const answers: NodeStatus[] = [];
    for (let first = 0; first < members.length; first += STATUS_CONCURRENCY) {
      const batch = members.slice(first, first + STATUS_CONCURRENCY);
      const asked = batch.map(({ node, controlAddress }) => ask(node, controlAddress));
      answers.push(...await Promise.all(asked));
    }
    return answers;
  };
};

const closeServer = (server: ServerType) => new Promise<void>((resolve) => {
  server.close(() => resolve());
  if ('closeAllConnections' in server) server.closeAllConnections();
});

/** Options of a server that asks for a client certificate of the authority. */
const loadServerOptions = async (files: PeerTlsFiles | undefined) => {
  if (files === undefined) return {};
  const serverOptions = {
    ...await loadTlsMaterial(files),
    requestCert: true,
    rejectUnauthorized: true,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
  };
  return { createServer, serverOptions };
};

/** Registers the listener for operators and announcements. */
export const registerOperatorServices = (
  kernel: Kernel,
  settings: Settings,
  drain: () => Promise<void>,
): void => {
  kernel.register<OperatorListener>({
    name: 'operator-listener',
    needs: ['contracts', 'announcements', 'placements', 'placer', 'membership', 'status'],
    start: async (find) => {
      const { own } = find<NodeStatusSource>('status');
      const app = createOperatorApi({
        contracts: find<Contracts>('contracts'),
        announcements: find<Announcements>('announcements'),
        placement: find<Placements>('placements').current,
        status: own,
        fleetStatus: createFleetStatus(
          find<Membership>('membership'),
          find<GrpcTransport>('transport'),
          own,
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
