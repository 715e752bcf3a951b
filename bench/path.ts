import { type ChildProcess, fork } from 'node:child_process';
import { request } from 'undici';
import { createSystemClock } from '../clock/mod.ts';
import { startAnnouncer } from '../standins/announcer.ts';
import { fleetCredentials } from '../standins/fleet.ts';
import { benchBearerToken, createBenchContract } from './_bench_contract.ts';
import { runLoad } from './_http_load.ts';
import type { PathAddresses, PathRole, PathUsage } from './_path_process.ts';
import type { Bench, BenchRow } from './bench.ts';

const BENCH = 'path';
const CUSTOMER = 'bench';
const INSTANCE = 'ledger-1';
const SLOT_COUNT = 256;
const UPSTREAM_SLOTS = 256;
const LIGHT_CONCURRENCY = 4;
const FULL_CONCURRENCY = 64;
const WARM_UP_MS = 800;
const LIGHT_RUN_MS = 800;
const RUN_MS = 1200;
const READY_TIMEOUT_MS = 12_000;
const POLL_INTERVAL_MS = 50;
const BYTES_PER_MB = 1_000_000;
const US_PER_MS = 1000;

const clock = createSystemClock();

interface Child {
  readonly addresses: PathAddresses;
  readonly usage: () => Promise<PathUsage>;
  readonly end: () => void;
}

const nextMessage = <T>(child: ChildProcess) => new Promise<T>((resolve, reject) => {
  child.once('message', (message) => resolve(message as T));
  child.once('exit', (status) => (
    reject(new Error(`benchmark child process exited with status ${status}`))
  ));
});

const startChild = async (role: PathRole): Promise<Child> => {
  const child = fork(new URL('./_path_process.ts', import.meta.url), [JSON.stringify(role)], {
    execArgv: ['--import', 'tsx'],
  });
  const addresses = await nextMessage<PathAddresses>(child);
  return {
    addresses,
    usage: () => {
      const usage = nextMessage<PathUsage>(child);
      child.send('usage');
      return usage;
    },
    end: () => child.kill('SIGKILL'),
  };
};

const ANY_PORT = '127.0.0.1:0';

const createSettings = (node: string, store: string, seeds: readonly string[], level: string) => ({
  node,
  region: 'r',
  failureDomain: node,
  listen: {
    caller: ANY_PORT, peer: ANY_PORT, control: ANY_PORT, operator: ANY_PORT,
  },
  store: { url: store, callsPerSecond: 50 },
  seeds,
  credentials: fleetCredentials,
  log: { level },
});

const headers = { authorization: `Bearer ${benchBearerToken(CUSTOMER)}` };
const requestPath = (sequence: number) => `/turns/p${sequence % 997}`;

const isServed = async (address: string) => {
  const response = await request(`http://${address}${requestPath(1)}`, { headers });
  await response.body.dump();
  return response.statusCode === 200;
};

const waitUntilServed = async (address: string) => {
  const endMs = clock.now() + READY_TIMEOUT_MS;
  while (!await isServed(address)) {
    if (clock.now() > endMs) throw new Error('timed out waiting for the nodes to serve the key');
    await clock.sleep(POLL_INTERVAL_MS);
  }
};

/** Starts an owner, an ingress node and two witnesses in three child processes. */
const startNodes = async (platform: Child, level: string) => {
  const { store = '', upstream = '' } = platform.addresses;
  const start = (names: readonly string[], seeds: readonly string[]) => startChild({
    role: 'nodes', settings: names.map((name) => createSettings(name, store, seeds, level)),
  });
  const owner = await start([`owner-${level}`], []);
  const [ownerNode] = owner.addresses.nodes!;
  const [ingress, witnesses] = await Promise.all([
    start([`ingress-${level}`], [ownerNode!.control]),
    start([`w1-${level}`, `w2-${level}`], [ownerNode!.control]),
  ]);
  const operatorUrl = `http://${ownerNode!.operator}`;
  await request(`${operatorUrl}/v1/contracts/${CUSTOMER}?revision=0`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${fleetCredentials.operator}` },
    body: JSON.stringify(createBenchContract(CUSTOMER, SLOT_COUNT)),
  }).then((response) => response.body.dump());
  const announcer = await startAnnouncer({
    instance: INSTANCE,
    service: 'ledger',
    url: upstream,
    slots: UPSTREAM_SLOTS,
    connections: UPSTREAM_SLOTS,
    weight: 6,
  }, { clock, operatorUrl, credential: fleetCredentials.announce });
  const [ingressNode] = ingress.addresses.nodes!;
  await waitUntilServed(ownerNode!.caller);
  await waitUntilServed(ingressNode!.caller);
  return {
    owner,
    ingress,
    ownerAddress: ownerNode!.caller,
    ingressAddress: ingressNode!.caller,
    end: () => {
      announcer.stop();
      for (const child of [owner, ingress, witnesses]) child.end();
    },
  };
};

interface PathMeasurement {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly requestsPerSecond: number;
  readonly failed: number;
  /** CPU time of the processes on the path, in µs per request. */
  readonly processorUs: number;
  readonly residentMb: number;
}

const measurePath = async (
  target: string,
  processes: readonly Child[],
): Promise<PathMeasurement> => {
  const load = (concurrency: number, durationMs: number) => runLoad({
    clock, targets: [target], path: requestPath, headers, concurrency, durationMs,
  });
  await load(FULL_CONCURRENCY, WARM_UP_MS);
  const light = await load(LIGHT_CONCURRENCY, LIGHT_RUN_MS);
  const before = await Promise.all(processes.map((child) => child.usage()));
  const full = await load(FULL_CONCURRENCY, RUN_MS);
  const after = await Promise.all(processes.map((child) => child.usage()));
  const processorMs = after.reduce((sum, { processorMs: total }, index) => (
    sum + total - before[index]!.processorMs
  ), 0);
  return {
    p50Ms: light.p50Ms,
    p99Ms: light.p99Ms,
    requestsPerSecond: full.requestsPerSecond,
    failed: light.failed + full.failed,
    processorUs: (processorMs * US_PER_MS) / full.requests,
    residentMb: Math.max(0, ...after.map(({ residentBytes }) => residentBytes)) / BYTES_PER_MB,
  };
};

const createRows = (
  path: string,
  naive: PathMeasurement | undefined,
  product: PathMeasurement,
): readonly BenchRow[] => {
  const row = (metric: string, unit: string, key: keyof PathMeasurement): BenchRow => ({
    bench: BENCH,
    metric: `${path}: ${metric}`,
    unit,
    naive: naive?.[key] ?? null,
    product: product[key],
    target: key === 'failed' ? { relation: 'equal', value: 0 } : null,
  });
  return [
    row(`p50, ${LIGHT_CONCURRENCY} at a time`, 'ms', 'p50Ms'),
    row(`p99, ${LIGHT_CONCURRENCY} at a time`, 'ms', 'p99Ms'),
    row(`throughput, ${FULL_CONCURRENCY} at a time`, 'requests/s', 'requestsPerSecond'),
    row('processor time of the processes on the path', 'µs/request', 'processorUs'),
    row('largest resident memory of a process', 'MB', 'residentMb'),
    row('failed', 'count', 'failed'),
  ];
};

/** Measures latency, throughput and CPU time directly, through one node and through two nodes. */
export const runPathBench: Bench = async () => {
  const children: { readonly end: () => void }[] = [];
  const endAtExit = <T extends { readonly end: () => void }>(child: T): T => {
    children.push(child);
    return child;
  };
  const startPlatform = async () => endAtExit(
    await startChild({ role: 'platform', instance: INSTANCE }),
  );
  try {
    const platforms = await Promise.all([startPlatform(), startPlatform()]);
    const { upstream = '' } = platforms[0].addresses;
    const proxy = endAtExit(await startChild({ role: 'proxy', upstream }));
    const nodesWithLog = endAtExit(await startNodes(platforms[0], 'info'));
    const nodesWithoutLog = endAtExit(await startNodes(platforms[1], 'error'));
    const direct = await measurePath(new URL(upstream).host, []);
    const naive = await measurePath(proxy.addresses.proxy!, [proxy]);
    const rows = [...createRows('direct', undefined, direct)];
    for (const [lines, nodes] of [['with', nodesWithLog], ['without', nodesWithoutLog]] as const) {
      const throughOneNode = await measurePath(nodes.ownerAddress, [nodes.owner]);
      const throughTwoNodes = await measurePath(nodes.ingressAddress, [nodes.owner, nodes.ingress]);
      rows.push(...createRows(`one node, ${lines} log lines`, naive, throughOneNode));
      rows.push(...createRows(`two nodes, ${lines} log lines`, naive, throughTwoNodes));
    }
    return rows;
  } finally {
    for (const child of children) child.end();
  }
};
