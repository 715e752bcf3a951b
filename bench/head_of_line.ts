import type { Bench, BenchRow, BenchTarget } from './bench.ts';
import type { FleetPlan, FleetRun } from './_fleet_plan.ts';
import { type ArrivalStream, constantRate, generateLoad } from './_load_generator.ts';
import {
  p99LatencyMs, selectClass, selectEndedWithin, selectInTime, sumServiceTimeMs,
} from './_load_statistics.ts';
import { runNaiveFleet } from './_naive_fleet.ts';
import { runProductFleet } from './_product_fleet.ts';

interface FleetSize {
  readonly slots: number;
  readonly instanceCount: number;
}

const DURATION_MS = 30_000;
const NODE_COUNT = 4;
const STRAGGLER_FRACTION = 0.02;
const MAX_P99_RATIO: BenchTarget = { relation: 'at most', value: 2 };
const MIN_GOODPUT_RATIO: BenchTarget = { relation: 'at least', value: 0.9 };

const FLEET_SIZES: readonly FleetSize[] = [
  { slots: 6, instanceCount: 3 }, { slots: 9, instanceCount: 4 },
];

/** Offered bulk load as a fraction of all slots; checks and lookups add 0.3. */
const BULK_LOADS = { 'bulk below capacity': 0.57, 'bulk beyond capacity': 1.33 };

const createPlan = ({ slots, instanceCount }: FleetSize): FleetPlan => ({
  nodeCount: NODE_COUNT,
  instances: Array.from({ length: instanceCount }, (_, index) => ({ name: `i${index}`, slots })),
  customers: [{
    customer: 'a', share: 1, requestsPerSecond: 10_000, concurrency: 10_000,
  }],
  measureFromMs: 0,
  measureToMs: DURATION_MS,
});

/** Creates arrival processes whose rates scale with the number of slots. */
const createStreams = (slots: number, bulkLoad: number) => {
  const checks: ArrivalStream = {
    requestClass: 'check',
    ...constantRate((slots * 100) / 6),
    meanServiceTimeMs: 2,
    deadlineMs: 1000,
  };
  const lookups: ArrivalStream = {
    requestClass: 'lookup',
    ...constantRate((slots * 100) / 6),
    meanServiceTimeMs: 10,
    deadlineMs: 2000,
    stragglerFraction: STRAGGLER_FRACTION,
  };
  const bulk: ArrivalStream = {
    requestClass: 'bulk',
    ...constantRate(slots * bulkLoad),
    meanServiceTimeMs: 1000,
    deadlineMs: 30_000,
  };
  return { checks, lookups, bulk };
};

const ratio = (value: number | null, base: number | null) => (
  value === null || base === null ? null : value / base
);

const fractionInTime = ({ results }: FleetRun, requestClass: 'check' | 'lookup') => {
  const classResults = selectClass(results, requestClass);
  return selectInTime(classResults).length / classResults.length;
};

const slotUtilization = ({ busyMs }: FleetRun, slots: number) => (
  busyMs.reduce((sum, busy) => sum + busy, 0) / (slots * DURATION_MS)
);

const selectBulkInTime = ({ results }: FleetRun) => selectInTime(selectClass(results, 'bulk'));

const measureSize = async (size: FleetSize, seed: number): Promise<readonly BenchRow[]> => {
  const plan = createPlan(size);
  const totalSlots = size.slots * size.instanceCount;
  const sizeName = `${size.instanceCount} instances of ${size.slots} slots`;
  const { checks } = createStreams(totalSlots, 0);
  const idleLoad = generateLoad(seed, [checks], DURATION_MS);
  const idleProduct = p99LatencyMs((await runProductFleet(plan, idleLoad, seed)).results);
  const idleNaive = p99LatencyMs((await runNaiveFleet(plan, idleLoad)).results);
  const rows: BenchRow[] = [];
  for (const [loadName, bulkLoad] of Object.entries(BULK_LOADS)) {
    const addRow = (
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
    const { lookups, bulk } = createStreams(totalSlots, bulkLoad);
    const load = generateLoad(seed, [checks, lookups, bulk], DURATION_MS);
    const product = await runProductFleet(plan, load, seed);
    const naive = await runNaiveFleet(plan, load);
    const p99OfClass = ({ results }: FleetRun, name: 'check' | 'lookup') => (
      p99LatencyMs(selectClass(results, name))
    );
    addRow('p99 of checks', 'ms', p99OfClass(naive, 'check'), p99OfClass(product, 'check'));
    addRow(
      'p99 of checks over idle',
      'ratio',
      ratio(p99OfClass(naive, 'check'), idleNaive),
      ratio(p99OfClass(product, 'check'), idleProduct),
      MAX_P99_RATIO,
    );
    addRow('p99 of lookups', 'ms', p99OfClass(naive, 'lookup'), p99OfClass(product, 'lookup'));
    addRow(
      'checks in time',
      'part',
      fractionInTime(naive, 'check'),
      fractionInTime(product, 'check'),
    );
    addRow(
      'lookups in time',
      'part',
      fractionInTime(naive, 'lookup'),
      fractionInTime(product, 'lookup'),
    );
    const goodput = selectBulkInTime(product).length / selectBulkInTime(naive).length;
    addRow('bulk goodput over naive', 'ratio', 1, goodput, MIN_GOODPUT_RATIO);
    const naiveBulkServiceTimeMs = sumServiceTimeMs(
      selectEndedWithin(selectBulkInTime(naive), 0, DURATION_MS),
    );
    const productBulkServiceTimeMs = sumServiceTimeMs(
      selectEndedWithin(selectBulkInTime(product), 0, DURATION_MS),
    );
    addRow(
      'bulk goodput over naive while the load lasts',
      'ratio',
      1,
      productBulkServiceTimeMs / naiveBulkServiceTimeMs,
    );
    // Upper bound: bulk gets all slot time that checks and lookups do not need.
    const shortServiceTimeMs = load.reduce((sum, { requestClass, serviceTimeMs }) => (
      requestClass === 'bulk' ? sum : sum + serviceTimeMs
    ), 0);
    addRow(
      'bulk goodput over naive that slots left by checks and lookups allow',
      'ratio',
      null,
      (totalSlots * DURATION_MS - shortServiceTimeMs) / naiveBulkServiceTimeMs,
    );
    addRow(
      'use of the slots',
      'part',
      slotUtilization(naive, totalSlots),
      slotUtilization(product, totalSlots),
    );
  }
  return rows;
};

/** Measures head-of-line blocking of short requests by bulk downloads and stragglers. */
export const runHeadOfLineBench: Bench = async ({ seed }) => {
  const rows: BenchRow[] = [];
  for (const size of FLEET_SIZES) rows.push(...await measureSize(size, seed));
  return rows;
};
