import type { Bench, BenchRow, BenchTarget } from './bench.ts';
import type { FleetPlan, FleetRun } from './_fleet_plan.ts';
import { generateLoad, steady, type Stream } from './_load_arrivals.ts';
import {
  endedWithin, inTime, ofClass, p99, workOf,
} from './_load_figures.ts';
import { runNaiveFleet } from './_naive_fleet.ts';
import { runProductFleet } from './_product_fleet.ts';

interface Size {
  readonly slots: number;
  readonly instanceCount: number;
}

const DURATION_MS = 30_000;
const NODE_COUNT = 4;
const STRAGGLER_FRACTION = 0.02;
const MAX_RATIO: BenchTarget = { relation: 'at most', value: 2 };
const MIN_GOODPUT: BenchTarget = { relation: 'at least', value: 0.9 };

const SIZES: readonly Size[] = [
  { slots: 6, instanceCount: 3 }, { slots: 9, instanceCount: 4 },
];

/** Bulk work in slots over all slots; checks and lookups add 0.3. */
const BULK_LOADS = { 'bulk below capacity': 0.57, 'bulk beyond capacity': 1.33 };

const planOf = ({ slots, instanceCount }: Size): FleetPlan => ({
  nodeCount: NODE_COUNT,
  instances: Array.from({ length: instanceCount }, (_, index) => ({ name: `i${index}`, slots })),
  customers: [{
    customer: 'a', share: 1, requestsPerSecond: 10_000, concurrency: 10_000,
  }],
  measureFromMs: 0,
  measureToMs: DURATION_MS,
});

/** Streams for a number of slots. */
const streamsOf = (slots: number, bulkLoad: number) => {
  const checks: Stream = {
    requestClass: 'check', ...steady((slots * 100) / 6), meanMs: 2, deadlineMs: 1000,
  };
  const lookups: Stream = {
    requestClass: 'lookup',
    ...steady((slots * 100) / 6),
    meanMs: 10,
    deadlineMs: 2000,
    stragglers: STRAGGLER_FRACTION,
  };
  const bulk: Stream = {
    requestClass: 'bulk', ...steady(slots * bulkLoad), meanMs: 1000, deadlineMs: 30_000,
  };
  return { checks, lookups, bulk };
};

const ratio = (value: number | null, base: number | null) => (
  value === null || base === null ? null : value / base
);

const partInTime = ({ answers }: FleetRun, requestClass: 'check' | 'lookup') => {
  const all = ofClass(answers, requestClass);
  return inTime(all).length / all.length;
};

const useOf = ({ busyMs }: FleetRun, slots: number) => (
  busyMs.reduce((sum, busy) => sum + busy, 0) / (slots * DURATION_MS)
);

const bulkInTime = ({ answers }: FleetRun) => inTime(ofClass(answers, 'bulk'));

const measureSize = async (size: Size, seed: number): Promise<readonly BenchRow[]> => {
  const plan = planOf(size);
  const totalSlots = size.slots * size.instanceCount;
  const sizeName = `${size.instanceCount} instances of ${size.slots} slots`;
  const { checks } = streamsOf(totalSlots, 0);
  const idleLoad = generateLoad(seed, [checks], DURATION_MS);
  const idleProduct = p99((await runProductFleet(plan, idleLoad, seed)).answers);
  const idleNaive = p99((await runNaiveFleet(plan, idleLoad)).answers);
  const rows: BenchRow[] = [];
  for (const [loadName, bulkLoad] of Object.entries(BULK_LOADS)) {
    const add = (
      metric: string,
      unit: string,
      naive: number | null,
      product: number | null,
      target: BenchTarget | null = null,
    ) => rows.push({
      bench: 'head-of-line',
      metric: `${metric}, ${loadName}, ${sizeName}`,
      unit,
      naive,
      product,
      target,
    });
    const { lookups, bulk } = streamsOf(totalSlots, bulkLoad);
    const load = generateLoad(seed, [checks, lookups, bulk], DURATION_MS);
    const product = await runProductFleet(plan, load, seed);
    const naive = await runNaiveFleet(plan, load);
    const p99Of = ({ answers }: FleetRun, name: 'check' | 'lookup') => p99(ofClass(answers, name));
    add('p99 of checks', 'ms', p99Of(naive, 'check'), p99Of(product, 'check'));
    add(
      'p99 of checks over idle',
      'ratio',
      ratio(p99Of(naive, 'check'), idleNaive),
      ratio(p99Of(product, 'check'), idleProduct),
      MAX_RATIO,
    );
    add('p99 of lookups', 'ms', p99Of(naive, 'lookup'), p99Of(product, 'lookup'));
    add('checks in time', 'part', partInTime(naive, 'check'), partInTime(product, 'check'));
    add('lookups in time', 'part', partInTime(naive, 'lookup'), partInTime(product, 'lookup'));
    const goodput = bulkInTime(product).length / bulkInTime(naive).length;
    add('bulk goodput over naive', 'ratio', 1, goodput, MIN_GOODPUT);
    const naiveEnded = workOf(endedWithin(bulkInTime(naive), 0, DURATION_MS));
    const productEnded = workOf(endedWithin(bulkInTime(product), 0, DURATION_MS));
    add(
      'bulk goodput over naive while the load lasts',
      'ratio',
      1,
      productEnded / naiveEnded,
    );
    // No version can give bulk more while it serves every check and lookup.
    const shortWork = load.reduce((sum, { requestClass, workMs }) => (
      requestClass === 'bulk' ? sum : sum + workMs
    ), 0);
    add(
      'bulk goodput over naive that slots left by checks and lookups allow',
      'ratio',
      null,
      (totalSlots * DURATION_MS - shortWork) / naiveEnded,
    );
    add(
      'use of the slots',
      'part',
      useOf(naive, totalSlots),
      useOf(product, totalSlots),
    );
  }
  return rows;
};

/** Measures short requests behind bulk downloads and stragglers. */
export const headOfLine: Bench = async ({ seed }) => {
  const rows: BenchRow[] = [];
  for (const size of SIZES) rows.push(...await measureSize(size, seed));
  return rows;
};
