import { createWriteStream } from 'node:fs';
import { Agent, createServer, request as sendRequest } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Clock, createSystemClock } from '../clock/mod.ts';
import { parseSettings, startNode } from '../daemon/mod.ts';
import { startStoreServer } from '../standins/store_server.ts';
import { startUpstreamServer } from '../standins/upstream_server.ts';

/** What a child of the path bench runs. */
export type PathRole = | { readonly role: 'platform'; readonly instance: string }
  | { readonly role: 'proxy'; readonly upstream: string }
  | { readonly role: 'nodes'; readonly settings: readonly object[] };

/** Addresses that a child reports once it listens. */
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

/** Use of the processor and the memory of a child so far. */
export interface PathUsage {
  readonly processorMs: number;
  readonly residentBytes: number;
}

const MANY_SLOTS = 10_000;
const clock = createSystemClock();

/** Work of no duration ends at once; a timer of 0 ms would add 1 ms to each request. */
const upstreamClock: Clock = {
  ...clock,
  sleep: (durationMs, signal) => (
    durationMs <= 0 ? Promise.resolve() : clock.sleep(durationMs, signal)
  ),
};

const startPlatform = async (instance: string): Promise<PathAddresses> => {
  const store = await startStoreServer({ clock });
  const upstream = await startUpstreamServer({
    clock: upstreamClock, instance, behaviour: { slots: MANY_SLOTS, workMs: 0 },
  });
  return { store: store.url, upstream: upstream.url };
};

/** The naive version: a round-robin proxy over a list of one upstream. */
const startProxy = async (upstream: string): Promise<PathAddresses> => {
  const agent = new Agent({ keepAlive: true });
  const targets = [new URL(upstream)];
  let next = 0;
  const server = createServer((request, response) => {
    const target = targets[next % targets.length]!;
    next += 1;
    const forwarded = sendRequest({
      host: target.hostname,
      port: target.port,
      method: request.method,
      path: request.url,
      headers: request.headers,
      agent,
    }, (answer) => {
      response.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(response);
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

const starters = {
  platform: ({ instance }: Extract<PathRole, { role: 'platform' }>) => startPlatform(instance),
  proxy: ({ upstream }: Extract<PathRole, { role: 'proxy' }>) => startProxy(upstream),
  nodes: ({ settings }: Extract<PathRole, { role: 'nodes' }>) => startNodes(settings),
};

const usage = (): PathUsage => {
  const { user, system } = process.cpuUsage();
  return { processorMs: (user + system) / 1000, residentBytes: process.memoryUsage().rss };
};

if (process.send !== undefined) {
  // A child whose parent has gone ends, too.
  process.once('disconnect', () => process.exit(0));
  const plan = JSON.parse(process.argv[2] ?? '{}') as PathRole;
  const start = starters[plan.role] as (role: PathRole) => Promise<PathAddresses>;
  const addresses = await start(plan);
  process.on('message', () => process.send!(usage()));
  process.send(addresses);
}
