import type { Bench, BenchRow, BenchTarget } from './bench.ts';
import { usableSlots } from './_fake_instance.ts';
import type { FleetPlan, FleetRun } from './_fleet_plan.ts';
import { constantRate, generateLoad } from './_load_generator.ts';
import {
  countFalseNotRun, p99LatencyMs, selectArrivedWithin, selectInTime,
} from './_load_statistics.ts';
import { runNaiveFleet } from './_naive_fleet.ts';
import { runProductFleet } from './_product_fleet.ts';

interface FleetSize {
  readonly slots: number;
  /** Maximum number of requests queued or running at the shedding instance. */
  readonly maxOutstanding: number;
}

const DURATION_MS = 30_000;
const COLD_INSTANCE_START_MS = 5000;
const COLD_MS = 10_000;
const NODE_COUNT = 6;
const MEAN_SERVICE_TIME_MS = 10;
const DEADLINE_MS = 2000;
const STRAGGLER_FRACTION = 0.005;
/** Offered load as a fraction of the capacity of all instances after the cold start. */
const OFFERED_LOAD = 0.6;

const FLEET_SIZES: readonly FleetSize[] = [
  { slots: 6, maxOutstanding: 3 }, { slots: 9, maxOutstanding: 5 },
];

const createPlan = ({ slots, maxOutstanding }: FleetSize): FleetPlan => ({
  nodeCount: NODE_COUNT,
  instances: [
    { name: 'usual', slots },
    { name: 'quarter-speed', slots, speed: 0.25 },
    // Announces four times its actual slots and runs at half the speed.
    {
      name: 'misleading', slots, speed: 0.5, announcedSlots: slots * 4,
    },
    {
      name: 'cold', slots, startsAtMs: COLD_INSTANCE_START_MS, coldMs: COLD_MS,
    },
    { name: 'shedding', slots, maxOutstanding },
    { name: 'second-usual', slots },
  ],
  customers: [{
    customer: 'a', share: 1, requestsPerSecond: 20_000, concurrency: 20_000,
  }],
  measureFromMs: COLD_INSTANCE_START_MS,
  measureToMs: DURATION_MS,
});

const capacityPerSecond = ({ instances }: FleetPlan) => {
  // Stragglers take `STRAGGLER_FACTOR` = 30 times as long, so each adds 29 service times.
  const meanServiceTimeMs = MEAN_SERVICE_TIME_MS * (1 + STRAGGLER_FRACTION * 29);
  return instances.reduce((sum, profile) => (
    sum + (usableSlots(profile) * (profile.speed ?? 1) * 1000) / meanServiceTimeMs
  ), 0);
};

const summarizeRun = (plan: FleetPlan, { results, busyMs, executions }: FleetRun) => {
  const measuredMs = plan.measureToMs - plan.measureFromMs;
  const utilization = plan.instances.map((profile, index) => (
    busyMs[index]! / (usableSlots(profile) * measuredMs)
  ));
  const mean = utilization.reduce((sum, value) => sum + value, 0) / utilization.length;
  const measured = selectArrivedWithin(results, plan.measureFromMs, plan.measureToMs);
  return {
    utilization,
    maxOverMeanUtilization: Math.max(...utilization) / mean,
    p99: p99LatencyMs(measured),
    inTime: selectInTime(measured).length / measured.length,
    falseNotRun: countFalseNotRun(results, executions),
  };
};

type RunSummary = ReturnType<typeof summarizeRun>;

const measureSize = async (size: FleetSize, seed: number): Promise<readonly BenchRow[]> => {
  const plan = createPlan(size);
  const load = generateLoad(seed, [{
    requestClass: 'lookup',
    ...constantRate(OFFERED_LOAD * capacityPerSecond(plan)),
    meanServiceTimeMs: MEAN_SERVICE_TIME_MS,
    deadlineMs: DEADLINE_MS,
    stragglerFraction: STRAGGLER_FRACTION,
  }], DURATION_MS);
  const product = summarizeRun(plan, await runProductFleet(plan, load, seed));
  const naive = summarizeRun(plan, await runNaiveFleet(plan, load));
  const row = (
    metric: string,
    unit: string,
    pick: (summary: RunSummary) => number | null,
    target: BenchTarget | null = null,
  ): BenchRow => ({
    bench: 'imbalance',
    metric: `${metric}, ${size.slots} slots`,
    unit,
    naive: pick(naive),
    product: pick(product),
    target,
  });
  return [
    row('highest over mean use', 'ratio', ({ maxOverMeanUtilization }) => maxOverMeanUtilization, {
      relation: 'at most', value: naive.maxOverMeanUtilization,
    }),
    row(
      'p99',
      'ms',
      (summary) => summary.p99, (
        naive.p99 === null ? null : { relation: 'at most', value: naive.p99 }
      ),
    ),
    row('in time', 'part', (summary) => summary.inTime),
    ...plan.instances.map(({ name }, index) => (
      row(`use of the ${name} instance`, 'part', ({ utilization }) => utilization[index]!)
    )),
    row('false refusals as not run', 'requests', ({ falseNotRun }) => falseNotRun, {
      relation: 'equal', value: 0,
    }),
  ];
};

/** Measures how evenly nodes without shared state load instances of different capacity. */
export const runImbalanceBench: Bench = async ({ seed }) => {
  const rows: BenchRow[] = [];
  for (const size of FLEET_SIZES) rows.push(...await measureSize(size, seed));
  return rows;
};
