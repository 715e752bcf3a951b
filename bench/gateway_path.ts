import { request } from 'undici';
import { createSystemClock } from '../clock/mod.ts';
import { platformHeaders } from '../platform/mod.ts';
import {
  type GatewayChild, startGatewayChild, startGatewayFleet,
} from './_gateway_fleet.ts';
import { runLoad } from './_http_load.ts';
import type { Bench, BenchRow } from './bench.ts';

const BENCH = 'gateway-path';
const WORK_MS = 5;
/** Few at a time, so that requests rarely share a wake-up, as on a small host. */
const CONCURRENCY = 4;
const WARM_UP_MS = 4000;
const RUN_MS = 6000;
const IDLE_SETTLE_MS = 8000;
const IDLE_RUN_MS = 10_000;
const IDLE_HOSTS = [13, 71];
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;

const clock = createSystemClock();
const headers = {
  host: 'shop.example',
  [platformHeaders.requestId]: 'r-1',
  [platformHeaders.remainingMs]: '1000',
};
const requestPath = (sequence: number) => `/reads/p${sequence % 997}`;

const waitUntilServed = async (address: string) => {
  const endMs = clock.now() + READY_TIMEOUT_MS;
  for (;;) {
    const response = await request(`http://${address}${requestPath(1)}`, { headers });
    await response.body.dump();
    if (response.statusCode === 200) return;
    if (clock.now() > endMs) throw new Error('timed out waiting for the nodes to serve');
    await clock.sleep(POLL_INTERVAL_MS);
  }
};

interface PathCost {
  /** Processor time of each process on the path, in µs per request. */
  readonly processorUs: readonly number[];
  readonly failed: number;
  /** Processor time by step, summed over the processes, in µs per request. */
  readonly stepsUs: Readonly<Record<string, number>>;
}

const measurePath = async (
  target: string,
  processes: readonly GatewayChild[],
): Promise<PathCost> => {
  const load = (durationMs: number) => runLoad({
    clock, targets: [target], path: requestPath, headers, concurrency: CONCURRENCY, durationMs,
  });
  await waitUntilServed(target);
  await load(WARM_UP_MS);
  const before = await Promise.all(processes.map((child) => child.send('usage')));
  const measured = await load(RUN_MS);
  const after = await Promise.all(processes.map((child) => child.send('usage')));
  await Promise.all(processes.map((child) => child.send('start profile')));
  const profiled = await load(RUN_MS);
  const profiles = await Promise.all(processes.map((child) => child.send('stop profile')));
  const stepsUs: Record<string, number> = {};
  for (const { steps = {} } of profiles) {
    for (const [step, durationMs] of Object.entries(steps)) {
      if (step === 'idle') continue;
      stepsUs[step] = (stepsUs[step] ?? 0) + (durationMs * US_PER_MS) / profiled.requests;
    }
  }
  return {
    processorUs: after.map(({ processorMs }, index) => (
      ((processorMs - before[index]!.processorMs) * US_PER_MS) / measured.requests
    )),
    failed: measured.failed + profiled.failed,
    stepsUs,
  };
};

const measureIdle = async (hosts: number): Promise<readonly BenchRow[]> => {
  const fleet = await startGatewayFleet(clock, hosts, WORK_MS);
  try {
    await clock.sleep(IDLE_SETTLE_MS);
    const node = fleet.nodes[1]!;
    const before = await node.send('usage');
    await clock.sleep(IDLE_RUN_MS);
    const after = await node.send('usage');
    await node.send('start profile');
    await clock.sleep(IDLE_RUN_MS);
    const { steps = {} } = await node.send('stop profile');
    const perSecond = (durationMs: number) => (durationMs * MS_PER_SECOND) / IDLE_RUN_MS;
    const row = (metric: string, product: number): BenchRow => ({
      bench: BENCH,
      metric: `idle, ${hosts} hosts: ${metric}`,
      unit: 'ms/s',
      naive: null,
      product,
      target: null,
    });
    return [
      row('processor time', perSecond(after.processorMs - before.processorMs)),
      ...Object.entries(steps)
        .filter(([step]) => step !== 'idle')
        .sort(([, left], [, right]) => right - left)
        .map(([step, durationMs]) => row(step, perSecond(durationMs))),
    ];
  } finally {
    await fleet.end();
  }
};

const createRows = (naive: PathCost, product: PathCost): readonly BenchRow[] => {
  const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
  const row = (
    metric: string,
    naiveUs: number | undefined,
    productUs: number | undefined,
  ): BenchRow => ({
    bench: BENCH,
    metric,
    unit: 'µs/request',
    naive: naiveUs ?? null,
    product: productUs ?? null,
    target: null,
  });
  const steps = new Set([...Object.keys(product.stepsUs), ...Object.keys(naive.stepsUs)]);
  return [
    row('both nodes', sum(naive.processorUs), sum(product.processorUs)),
    row('ingress', naive.processorUs[0], product.processorUs[0]),
    row('node beside the instance', naive.processorUs[1], product.processorUs[1]),
    {
      bench: BENCH,
      metric: 'both nodes, over the bare relay',
      unit: 'ratio',
      naive: 1,
      product: sum(product.processorUs) / sum(naive.processorUs),
      target: null,
    },
    {
      bench: BENCH,
      metric: 'failed',
      unit: 'count',
      naive: naive.failed,
      product: product.failed,
      target: { relation: 'equal', value: 0 },
    },
    ...[...steps]
      .sort((left, right) => (product.stepsUs[right] ?? 0) - (product.stepsUs[left] ?? 0))
      .map((step) => row(`step: ${step}`, naive.stepsUs[step], product.stepsUs[step])),
  ];
};

/**
 * Measures the processor time of a request through two nodes, against a relay of two bare HTTP
 * processes, and of a node without requests in fleets of two sizes.
 */
export const runGatewayPathBench: Bench = async () => {
  const fleet = await startGatewayFleet(clock, 2, WORK_MS);
  const relays: GatewayChild[] = [];
  let rows: readonly BenchRow[];
  try {
    const last = await startGatewayChild({ role: 'relay', target: fleet.instance.address });
    relays.push(last);
    const first = await startGatewayChild({ role: 'relay', target: last.address });
    relays.push(first);
    const naive = await measurePath(first.address, [first, last]);
    const product = await measurePath(fleet.callerAddress, fleet.nodes);
    rows = createRows(naive, product);
  } finally {
    for (const relay of relays) relay.end();
    await fleet.end();
  }
  const idleRows: BenchRow[] = [];
  for (const hosts of IDLE_HOSTS) idleRows.push(...await measureIdle(hosts));
  return [...rows, ...idleRows];
};
