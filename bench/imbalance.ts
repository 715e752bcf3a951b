import type { Bench, BenchRow, BenchTarget } from './bench.ts';
import { usableSlots } from './_fake_instance.ts';
import type { FleetPlan, FleetRun } from './_fleet_plan.ts';
import { generateLoad, steady } from './_load_arrivals.ts';
import {
  arrivedWithin, countFalseNotRun, inTime, p99,
} from './_load_figures.ts';
import { runNaiveFleet } from './_naive_fleet.ts';
import { runProductFleet } from './_product_fleet.ts';

interface Size {
  readonly slots: number;
  /** Requests that the shedding instance holds at most. */
  readonly shedsAt: number;
}

const DURATION_MS = 30_000;
const COLD_START_MS = 5000;
const COLD_MS = 10_000;
const NODE_COUNT = 6;
const MEAN_MS = 10;
const DEADLINE_MS = 2000;
const STRAGGLER_FRACTION = 0.005;
/** Load over the capacity of all instances when the cold one is warm. */
const LOAD = 0.6;

const SIZES: readonly Size[] = [{ slots: 6, shedsAt: 3 }, { slots: 9, shedsAt: 5 }];

const planOf = ({ slots, shedsAt }: Size): FleetPlan => ({
  nodeCount: NODE_COUNT,
  instances: [
    { name: 'usual', slots },
    { name: 'quarter-speed', slots, speed: 0.25 },
    // It announces four times the slots that it has, at half the speed.
    {
      name: 'misleading', slots, speed: 0.5, announcedSlots: slots * 4,
    },
    {
      name: 'cold', slots, startsAtMs: COLD_START_MS, coldMs: COLD_MS,
    },
    { name: 'shedding', slots, shedsAt },
    { name: 'second-usual', slots },
  ],
  customers: [{
    customer: 'a', share: 1, requestsPerSecond: 20_000, concurrency: 20_000,
  }],
  measureFromMs: COLD_START_MS,
  measureToMs: DURATION_MS,
});

const capacityPerSecond = ({ instances }: FleetPlan) => {
  const meanMs = MEAN_MS * (1 + STRAGGLER_FRACTION * 29);
  return instances.reduce((sum, profile) => (
    sum + (usableSlots(profile) * (profile.speed ?? 1) * 1000) / meanMs
  ), 0);
};

const figuresOf = (plan: FleetPlan, { answers, busyMs, executions }: FleetRun) => {
  const measuredMs = plan.measureToMs - plan.measureFromMs;
  const use = plan.instances.map((profile, index) => (
    busyMs[index]! / (usableSlots(profile) * measuredMs)
  ));
  const mean = use.reduce((sum, value) => sum + value, 0) / use.length;
  const measured = arrivedWithin(answers, plan.measureFromMs, plan.measureToMs);
  return {
    use,
    highest: Math.max(...use) / mean,
    p99: p99(measured),
    inTime: inTime(measured).length / measured.length,
    falseNotRun: countFalseNotRun(answers, executions),
  };
};

type Figures = ReturnType<typeof figuresOf>;

const measureSize = async (size: Size, seed: number): Promise<readonly BenchRow[]> => {
  const plan = planOf(size);
  const load = generateLoad(seed, [{
    requestClass: 'lookup',
    ...steady(LOAD * capacityPerSecond(plan)),
    meanMs: MEAN_MS,
    deadlineMs: DEADLINE_MS,
    stragglers: STRAGGLER_FRACTION,
  }], DURATION_MS);
  const product = figuresOf(plan, await runProductFleet(plan, load, seed));
  const naive = figuresOf(plan, await runNaiveFleet(plan, load));
  const row = (
    metric: string,
    unit: string,
    pick: (figures: Figures) => number | null,
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
    row('highest over mean use', 'ratio', ({ highest }) => highest, {
      relation: 'at most', value: naive.highest,
    }),
    row(
      'p99',
      'ms',
      (figures) => figures.p99, (
        naive.p99 === null ? null : { relation: 'at most', value: naive.p99 }
      ),
    ),
    row('in time', 'part', (figures) => figures.inTime),
    ...plan.instances.map(({ name }, index) => (
      row(`use of the ${name} instance`, 'part', ({ use }) => use[index]!)
    )),
    row('false refusals as not run', 'requests', ({ falseNotRun }) => falseNotRun, {
      relation: 'equal', value: 0,
    }),
  ];
};

/** Measures how evenly unequal instances are used, by nodes that do not share state. */
export const imbalance: Bench = async ({ seed }) => {
  const rows: BenchRow[] = [];
  for (const size of SIZES) rows.push(...await measureSize(size, seed));
  return rows;
};
