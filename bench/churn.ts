import { createWriteStream } from 'node:fs';
import { request } from 'undici';
import { type Clock, createSystemClock } from '../clock/mod.ts';
import {
  type Fleet, fleetCredentials, type FleetHostPlan, startFleet,
} from '../standins/fleet.ts';
import { benchBearerToken, createBenchContract } from './_bench_contract.ts';
import { runLoad } from './_http_load.ts';
import { measureSlotMoves } from './_slot_moves.ts';
import type { Bench, BenchRow } from './bench.ts';

const BENCH = 'churn';
const FLEET_SIZES = [
  { nodes: 6, slotCount: 256 }, { nodes: 16, slotCount: 1024 }, { nodes: 64, slotCount: 4096 },
];
const MAX_MOVE_RATIO = 1.2;
const HOST_COUNT = 6;
const SLOT_COUNT = 256;
const UPSTREAM_SLOTS = 32;
const CUSTOMER = 'bench';
const CONCURRENCY = 8;
const MAX_LOAD_MS = 12_000;
const LOAD_AFTER_STOP_MS = 1000;
const STOP_AFTER_MS = 1500;
const READY_TIMEOUT_MS = 8000;
const POLL_INTERVAL_MS = 20;

const createSlotMoveRows = (): readonly BenchRow[] => FLEET_SIZES.flatMap(({
  nodes, slotCount,
}) => (
  Object.entries(measureSlotMoves(nodes, slotCount)).map(([change, moves]): BenchRow => ({
    bench: BENCH,
    metric: `slots moved on ${change}, ${nodes} nodes, ${slotCount} slots`,
    unit: 'times the least possible',
    naive: moves.naive / moves.minimum,
    product: moves.product / moves.minimum,
    target: { relation: 'at most', value: MAX_MOVE_RATIO },
  }))
));

const hostPlans: readonly FleetHostPlan[] = Array.from({ length: HOST_COUNT }, (_, index) => ({
  node: `n${index}`,
  region: 'r',
  failureDomain: `d${index % 3}`,
  instance: `i${index}`,
  service: 'ledger',
  slots: UPSTREAM_SLOTS,
  connections: 130,
}));

const applyContract = async (fleet: Fleet) => {
  const { operator } = fleet.hosts[0]!.node.addresses;
  const response = await request(`http://${operator}/v1/contracts/${CUSTOMER}?revision=0`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${fleetCredentials.operator}` },
    body: JSON.stringify(createBenchContract(CUSTOMER, SLOT_COUNT)),
  });
  if (response.statusCode !== 200) throw new Error(await response.body.text());
  await response.body.dump();
};

const isBalanced = (fleet: Fleet) => fleet.hosts.every(({ node }) => {
  const [owned] = node.status().ownership;
  return owned?.leaseValid === true && owned.slots >= Math.floor(SLOT_COUNT / HOST_COUNT) - 4;
});

const startReadyFleet = async (clock: Clock): Promise<Fleet> => {
  const fleet = await startFleet(hostPlans, { clock, logStream: createWriteStream('/dev/null') });
  await applyContract(fleet);
  const endMs = clock.now() + READY_TIMEOUT_MS;
  while (!isBalanced(fleet) && clock.now() < endMs) await clock.sleep(POLL_INTERVAL_MS);
  return fleet;
};

/** Measures the load on a fleet while one host stops; the callers use the other hosts. */
const measureHostStop = async (clock: Clock, isPlanned: boolean) => {
  const fleet = await startReadyFleet(clock);
  const victim = fleet.hosts.at(-1)!;
  const targets = fleet.hosts.slice(0, -1).map(({ node }) => node.addresses.caller);
  const loadAbort = new AbortController();
  const load = runLoad({
    clock,
    targets,
    path: (sequence) => `/turns/p${sequence % 997}`,
    headers: { authorization: `Bearer ${benchBearerToken(CUSTOMER)}` },
    concurrency: CONCURRENCY,
    durationMs: MAX_LOAD_MS,
    signal: loadAbort.signal,
  });
  await clock.sleep(STOP_AFTER_MS);
  const startMs = clock.now();
  if (isPlanned) await victim.node.stop();
  else await victim.kill();
  const stopMs = clock.now() - startMs;
  await clock.sleep(LOAD_AFTER_STOP_MS);
  loadAbort.abort();
  const result = await load;
  const remainingHosts = fleet.hosts.filter((host) => host !== victim);
  for (const host of remainingHosts) await host.kill();
  if (isPlanned) victim.announcer.stop();
  await fleet.store.close();
  return { ...result, stopMs };
};

/**
 * Measures the slots moved by changes of the fleet, and the requests failed by a planned stop in
 * comparison with a stop without handover.
 */
export const runChurnBench: Bench = async () => {
  const clock = createSystemClock();
  const moves = createSlotMoveRows();
  const product = await measureHostStop(clock, true);
  const naive = await measureHostStop(clock, false);
  const row = (
    metric: string,
    unit: string,
    values: readonly [number, number],
    target: BenchRow['target'],
  ): BenchRow => ({
    bench: BENCH, metric, unit, naive: values[0], product: values[1], target,
  });
  return [
    ...moves,
    row('requests sent around a stop', 'count', [naive.requests, product.requests], null),
    row('requests failed by a stop', 'count', [naive.failed, product.failed], {
      relation: 'equal', value: 0,
    }),
    row('p99 around a stop', 'ms', [naive.p99Ms, product.p99Ms], null),
    row('duration of the stop', 'ms', [naive.stopMs, product.stopMs], null),
  ];
};
