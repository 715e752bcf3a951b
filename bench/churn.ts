import { createWriteStream } from 'node:fs';
import { request } from 'undici';
import { type Clock, createSystemClock } from '../clock/mod.ts';
import {
  type Fleet, fleetCredentials, type FleetHostPlan, startFleet,
} from '../standins/fleet.ts';
import { benchTokenOf, createBenchContract } from './_bench_contract.ts';
import { runLoad } from './_http_load.ts';
import { measureMoves } from './_moved_share.ts';
import type { Bench, BenchRow } from './bench.ts';

const BENCH = 'churn';
const SIZES = [
  { nodes: 6, slotCount: 256 }, { nodes: 16, slotCount: 1024 }, { nodes: 64, slotCount: 4096 },
];
const TARGET_RATIO = 1.2;
const HOSTS = 6;
const SLOT_COUNT = 256;
const UPSTREAM_SLOTS = 32;
const CUSTOMER = 'bench';
const CONCURRENCY = 8;
const MAX_LOAD_MS = 12_000;
const LOAD_AFTER_STOP_MS = 1000;
const STOP_AFTER_MS = 1500;
const SETTLE_LIMIT_MS = 8000;
const POLL_INTERVAL_MS = 20;

const moveRows = (): readonly BenchRow[] => SIZES.flatMap(({ nodes, slotCount }) => (
  Object.entries(measureMoves(nodes, slotCount)).map(([change, share]): BenchRow => ({
    bench: BENCH,
    metric: `slots moved on ${change}, ${nodes} nodes, ${slotCount} slots`,
    unit: 'times the least possible',
    naive: share.naive / share.least,
    product: share.product / share.least,
    target: { relation: 'at most', value: TARGET_RATIO },
  }))
));

const plans: readonly FleetHostPlan[] = Array.from({ length: HOSTS }, (_, index) => ({
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
  const answer = await request(`http://${operator}/v1/contracts/${CUSTOMER}?revision=0`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${fleetCredentials.operator}` },
    body: JSON.stringify(createBenchContract(CUSTOMER, SLOT_COUNT)),
  });
  if (answer.statusCode !== 200) throw new Error(await answer.body.text());
  await answer.body.dump();
};

const isBalanced = (fleet: Fleet) => fleet.hosts.every(({ node }) => {
  const [owned] = node.status().ownership;
  return owned?.leaseValid === true && owned.slots >= Math.floor(SLOT_COUNT / HOSTS) - 4;
});

const startReadyFleet = async (clock: Clock): Promise<Fleet> => {
  const fleet = await startFleet(plans, { clock, logStream: createWriteStream('/dev/null') });
  await applyContract(fleet);
  const endMs = clock.now() + SETTLE_LIMIT_MS;
  while (!isBalanced(fleet) && clock.now() < endMs) await clock.sleep(POLL_INTERVAL_MS);
  return fleet;
};

/** Requests that fail while one host of a loaded fleet leaves; callers use the other hosts. */
const measureStop = async (clock: Clock, isPlanned: boolean) => {
  const fleet = await startReadyFleet(clock);
  const victim = fleet.hosts.at(-1)!;
  const targets = fleet.hosts.slice(0, -1).map(({ node }) => node.addresses.caller);
  const stopping = new AbortController();
  const load = runLoad({
    clock,
    targets,
    path: (number) => `/turns/p${number % 997}`,
    headers: { authorization: `Bearer ${benchTokenOf(CUSTOMER)}` },
    concurrency: CONCURRENCY,
    durationMs: MAX_LOAD_MS,
    signal: stopping.signal,
  });
  await clock.sleep(STOP_AFTER_MS);
  const startMs = clock.now();
  if (isPlanned) await victim.node.stop();
  else await victim.kill();
  const stopMs = clock.now() - startMs;
  await clock.sleep(LOAD_AFTER_STOP_MS);
  stopping.abort();
  const result = await load;
  const left = fleet.hosts.filter((host) => host !== victim);
  for (const host of left) await host.kill();
  if (isPlanned) victim.announcer.stop();
  await fleet.store.close();
  return { ...result, stopMs };
};

/** Movement of slots, and requests failed by a planned stop against a stop without hand-over. */
export const runChurnBench: Bench = async () => {
  const clock = createSystemClock();
  const moves = moveRows();
  const product = await measureStop(clock, true);
  const naive = await measureStop(clock, false);
  const row = (
    metric: string,
    unit: string,
    figures: readonly [number, number],
    target: BenchRow['target'],
  ): BenchRow => ({
    bench: BENCH, metric, unit, naive: figures[0], product: figures[1], target,
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
