import { createWriteStream } from 'node:fs';
import { Agent, createServer, request as sendRequest } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Clock, createSystemClock } from '../clock/mod.ts';
import { parseSettings, startNode } from '../daemon/mod.ts';
import { startStoreServer } from '../standins/store_server.ts';
import { startUpstreamServer } from '../standins/upstream_server.ts';

/** What a child process of the path benchmark runs. */
export type PathRole = | { readonly role: 'platform'; readonly instance: string }
  | { readonly role: 'proxy'; readonly upstream: string }
  | { readonly role: 'nodes'; readonly settings: readonly object[] };

/** Addresses that a child process reports once it listens. */
export interface PathAddresses {
  readonly store?: string;
  readonly upstream?: string;
  readonly proxy?: string;
  readonly nodes?: readonly {
    readonly caller: string;
    readonly control: string;
    readonly operator: string;
  }[];
}

/** CPU time and memory use of a child process. */
export interface PathUsage {
  /** User and system time since the start of the process. */
  readonly processorMs: number;
  readonly residentBytes: number;
}

const UPSTREAM_SLOTS = 10_000;
const clock = createSystemClock();

/** Returns at once from a sleep of 0 ms, because a timer would add 1 ms to each request. */
const upstreamClock: Clock = {
  ...clock,
  sleep: (durationMs, signal) => (
    durationMs <= 0 ? Promise.resolve() : clock.sleep(durationMs, signal)
  ),
};

const startPlatform = async (instance: string): Promise<PathAddresses> => {
  const store = await startStoreServer({ clock });
  const upstream = await startUpstreamServer({
    clock: upstreamClock, instance, behaviour: { maxConcurrentRequests: UPSTREAM_SLOTS, workMs: 0 },
  });
  return { store: store.url, upstream: upstream.url };
};

/** Starts the naive version: a round-robin proxy with a single upstream. */
const startProxy = async (upstream: string): Promise<PathAddresses> => {
  const agent = new Agent({ keepAlive: true });
  const targets = [new URL(upstream)];
  let nextTarget = 0;
  const server = createServer((request, response) => {
    const target = targets[nextTarget % targets.length]!;
    nextTarget += 1;
    const forwarded = sendRequest({
      host: target.hostname,
      port: target.port,
      method: request.method,
      path: request.url,
      headers: request.headers,
      agent,
    }, (upstreamResponse) => {
      response.writeHead(upstreamResponse.statusCode ?? 502, upstreamResponse.headers);
      upstreamResponse.pipe(response);
    });
    forwarded.on('error', () => response.destroy());
    request.pipe(forwarded);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { proxy: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

const startNodes = async (settings: readonly object[]): Promise<PathAddresses> => {
  const nodes = await Promise.all(settings.map(async (json) => {
    const parsed = parseSettings(JSON.stringify(json));
    if (parsed.isErr()) throw parsed.error;
    const logStream = createWriteStream('/dev/null');
    return (await startNode(parsed.value, { clock, logStream })).addresses;
  }));
  return { nodes };
};

const startByRole = {
  platform: ({ instance }: Extract<PathRole, { role: 'platform' }>) => startPlatform(instance),
  proxy: ({ upstream }: Extract<PathRole, { role: 'proxy' }>) => startProxy(upstream),
  nodes: ({ settings }: Extract<PathRole, { role: 'nodes' }>) => startNodes(settings),
};

const readUsage = (): PathUsage => {
  const { user, system } = process.cpuUsage();
  return { processorMs: (user + system) / 1000, residentBytes: process.memoryUsage().rss };
};

if (process.send !== undefined) {
  // Exits when the parent process is gone.
  process.once('disconnect', () => process.exit(0));
  const pathRole = JSON.parse(process.argv[2] ?? '{}') as PathRole;
  const start = startByRole[pathRole.role] as (role: PathRole) => Promise<PathAddresses>;
  const addresses = await start(pathRole);
  process.on('message', () => process.send!(readUsage()));
  process.send(addresses);
}
