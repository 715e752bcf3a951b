import { createWriteStream } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Pool } from 'undici';
import { createSystemClock } from '../clock/mod.ts';
import { startFleetNode } from '../fleet/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import { createLogger, createRateLimitedLogger } from '../telemetry/mod.ts';
import { createProcessorProfile, type StepTimes } from './_processor_profile.ts';

/** A node with the port of its metrics endpoint. */
export interface GatewayNode {
  readonly settings: PlatformSettings;
  readonly metricsPort: number;
}

/** What a child process of the gateway benchmark runs. */
export type GatewayRole = | { readonly role: 'nodes'; readonly nodes: readonly GatewayNode[] }
  | { readonly role: 'relay'; readonly target: string };

/** Requests of the parent process. */
export type GatewayCommand = 'usage' | 'start profile' | 'stop profile';

/** A response to a command; each carries the processor time since the start of the process. */
export interface GatewayReply {
  readonly processorMs: number;
  readonly steps?: StepTimes;
  /** Address of a relay. */
  readonly address?: string;
}

const MAX_CONNECTIONS = 128;

const startNodes = async (nodes: readonly GatewayNode[]) => {
  const clock = createSystemClock();
  for (const { settings, metricsPort } of nodes) {
    const logger = createRateLimitedLogger(
      createLogger('node', { node: settings.node, stream: createWriteStream('/dev/null') }),
      { clock },
    );
    await startFleetNode(settings, { clock, logger, metricsPort });
  }
  return undefined;
};

/** Starts the naive version: an HTTP server that streams each request through a pool. */
const startRelay = async (target: string) => {
  const pool = new Pool(`http://${target}`, { connections: MAX_CONNECTIONS, pipelining: 1 });
  const server = createServer((request, response) => {
    pool.stream({
      method: request.method as 'GET',
      path: request.url ?? '/',
      headers: request.rawHeaders,
      body: request.headers['content-length'] === undefined ? null : request,
    }, ({ statusCode, headers }) => response.writeHead(statusCode, headers))
      .catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const readUsage = (): GatewayReply => {
  const { user, system } = process.cpuUsage();
  return { processorMs: (user + system) / 1000 };
};

if (process.send !== undefined) {
  // Exits when the parent process is gone.
  process.once('disconnect', () => process.exit(0));
  const gatewayRole = JSON.parse(process.argv[2] ?? '{}') as GatewayRole;
  const address = gatewayRole.role === 'nodes'
    ? await startNodes(gatewayRole.nodes)
    : await startRelay(gatewayRole.target);
  const profile = createProcessorProfile();
  const commands: Readonly<Record<GatewayCommand, () => Promise<GatewayReply>>> = {
    usage: async () => readUsage(),
    'start profile': async () => {
      await profile.start();
      return readUsage();
    },
    'stop profile': async () => ({ ...readUsage(), steps: await profile.stop() }),
  };
  process.on('message', (command: GatewayCommand) => {
    commands[command]().then((reply) => process.send!(reply), () => process.exit(1));
  });
  process.send({ ...readUsage(), ...(address === undefined ? {} : { address }) });
}
