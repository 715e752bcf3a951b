import type { Bench, BenchRow, BenchTarget } from './bench.ts';
import type { CustomerPlan, FleetPlan, FleetRun } from './_fleet_plan.ts';
import { type ArrivalStream, generateLoad } from './_load_generator.ts';
import {
  countFalseNotRun, countRepeatedSubmissions, p99LatencyMs, selectArrivedWithin, selectClass,
  selectEndedWithin, selectInTime,
} from './_load_statistics.ts';
import { runNaiveFleet } from './_naive_fleet.ts';
import { runProductFleet } from './_product_fleet.ts';

interface CustomerDemand extends CustomerPlan {
  /** Request rate before and after the peak, as a fraction of the fleet's capacity. */
  readonly base: number;
  /** Request rate at the peak, as a fraction of the fleet's capacity. */
  readonly peak: number;
}

const SLOTS = 9;
const INSTANCE_COUNT = 4;
const NODE_COUNT = 5;
const RISE_START_MS = 4000;
const RISE_MS = 2000;
const FALL_START_MS = 14_000;
const END_MS = 19_000;
/** From this time on the queues are full and the customers' shares take effect. */
const PEAK_START_MS = RISE_START_MS + RISE_MS + 1000;
const STRAGGLER_FRACTION = 0.01;
/** Stragglers take `STRAGGLER_FACTOR` = 30 times as long, so each adds 29 service times. */
const STRAGGLER_SERVICE_TIME_FACTOR = 1 + STRAGGLER_FRACTION * 29;
const CHECK_SERVICE_TIME_MS = 2;
const LOOKUP_SERVICE_TIME_MS = 10;
const SUBMISSION_SERVICE_TIME_MS = 15;

/** Fraction of the requests in each class, the same for every customer. */
const CLASS_FRACTIONS = { check: 0.1, lookup: 0.7, submission: 0.2 };
const MEAN_SERVICE_TIME_MS = CLASS_FRACTIONS.check * CHECK_SERVICE_TIME_MS
  + CLASS_FRACTIONS.lookup * LOOKUP_SERVICE_TIME_MS * STRAGGLER_SERVICE_TIME_FACTOR
  + CLASS_FRACTIONS.submission * SUBMISSION_SERVICE_TIME_MS;
const CAPACITY_PER_SECOND = (SLOTS * INSTANCE_COUNT * 1000) / MEAN_SERVICE_TIME_MS;

const UNREACHABLE_LIMITS = { requestsPerSecond: 20_000, concurrency: 20_000 };

/**
 * Total demand of three times the capacity at the peak. `loud` and `quiet` have the same share of
 * 0.125 of the capacity: `loud` sends ten times its share, `quiet` less than its share in each
 * class.
 */
const DEMANDS: readonly CustomerDemand[] = [
  {
    customer: 'loud', share: 1, base: 0.1, peak: 1.25, ...UNREACHABLE_LIMITS,
  },
  {
    customer: 'double', share: 2, base: 0.2, peak: 0.65, ...UNREACHABLE_LIMITS,
  },
  {
    customer: 'large', share: 4, base: 0.3, peak: 1, ...UNREACHABLE_LIMITS,
  },
  {
    customer: 'quiet', share: 1, base: 0.08, peak: 0.08, ...UNREACHABLE_LIMITS,
  },
];

const PLAN: FleetPlan = {
  nodeCount: NODE_COUNT,
  instances: Array.from({ length: INSTANCE_COUNT }, (_, index) => (
    { name: `i${index}`, slots: SLOTS }
  )),
  customers: DEMANDS,
  measureFromMs: PEAK_START_MS,
  measureToMs: FALL_START_MS,
};

/** Fraction of the way from base to peak rate, from 0 to 1, with ramps of 2 s up and down. */
const peakFractionAt = (atMs: number) => Math.max(0, Math.min(
  1,
  (atMs - RISE_START_MS) / RISE_MS,
  (FALL_START_MS + RISE_MS - atMs) / RISE_MS,
));

const createStreams = ({
  customer, share, base, peak,
}: CustomerDemand): readonly ArrivalStream[] => {
  const createClassStream = (requestClass: keyof typeof CLASS_FRACTIONS) => {
    const capacityPerSecond = CAPACITY_PER_SECOND * CLASS_FRACTIONS[requestClass];
    return {
      requestClass,
      customer,
      share,
      rateAt: (atMs: number) => capacityPerSecond * (base + (peak - base) * peakFractionAt(atMs)),
      maxPerSecond: capacityPerSecond * Math.max(base, peak),
    };
  };
  return [
    { ...createClassStream('check'), meanServiceTimeMs: CHECK_SERVICE_TIME_MS, deadlineMs: 200 },
    {
      ...createClassStream('lookup'),
      meanServiceTimeMs: LOOKUP_SERVICE_TIME_MS,
      deadlineMs: 500,
      stragglerFraction: STRAGGLER_FRACTION,
    },
    {
      ...createClassStream('submission'),
      meanServiceTimeMs: SUBMISSION_SERVICE_TIME_MS,
      deadlineMs: 1000,
    },
  ];
};

/**
 * Divides a total by weighted max-min fairness: a customer that demands less than its share gets
 * its demand, and the others divide the rest by share.
 */
const divideMaxMinFair = (total: number, demands: ReadonlyMap<string, number>) => {
  const allocations = new Map<string, number>();
  let unsatisfied = [...DEMANDS];
  let remaining = total;
  for (;;) {
    const shares = unsatisfied.reduce((sum, { share }) => sum + share, 0);
    const perShare = remaining / shares;
    const satisfied = unsatisfied.filter(({ customer, share }) => (
      demands.get(customer)! <= perShare * share
    ));
    if (satisfied.length === 0) {
      for (const { customer, share } of unsatisfied) allocations.set(customer, perShare * share);
      return allocations;
    }
    for (const { customer } of satisfied) {
      allocations.set(customer, demands.get(customer)!);
      remaining -= demands.get(customer)!;
    }
    unsatisfied = unsatisfied.filter((demand) => !satisfied.includes(demand));
    if (unsatisfied.length === 0) return allocations;
  }
};

const countByCustomer = (results: FleetRun['results']) => {
  const counts = new Map(DEMANDS.map(({ customer }) => [customer, 0]));
  for (const { arrival: { customer } } of results) counts.set(customer, counts.get(customer)! + 1);
  return counts;
};

/**
 * Measures the ratio of each customer's successes in time to its fair allocation. As in the design,
 * each request class is divided separately.
 */
const measureShareRatios = (peakResults: FleetRun['results']) => {
  const fairParts = new Map(DEMANDS.map(({ customer }) => [customer, 0]));
  for (const requestClass of Object.keys(CLASS_FRACTIONS) as (keyof typeof CLASS_FRACTIONS)[]) {
    const classResults = selectClass(peakResults, requestClass);
    const parts = divideMaxMinFair(
      selectInTime(classResults).length,
      countByCustomer(classResults),
    );
    for (const [customer, part] of parts) fairParts.set(customer, fairParts.get(customer)! + part);
  }
  const inTimeCounts = countByCustomer(selectInTime(peakResults));
  return DEMANDS.map(({ customer }) => inTimeCounts.get(customer)! / fairParts.get(customer)!);
};

const summarizeRun = ({ results, busyMs, executions }: FleetRun) => {
  const peakResults = selectArrivedWithin(results, PEAK_START_MS, FALL_START_MS);
  const checks = selectClass(peakResults, 'check');
  const ended = selectEndedWithin(results, PEAK_START_MS, FALL_START_MS)
    .filter(({ arrival }) => executions(arrival.id) > 0);
  const slotMs = SLOTS * INSTANCE_COUNT * (FALL_START_MS - PEAK_START_MS);
  const utilization = busyMs.reduce((sum, busy) => sum + busy, 0) / slotMs;
  const afterPeak = selectArrivedWithin(results, FALL_START_MS + RISE_MS, END_MS);
  return {
    // The capacity is the number of requests that would have ended if every slot had been busy all
    // the time. A cancelled straggler counts with its time until the cancellation.
    goodput: selectInTime(ended).length / (ended.length / utilization),
    utilization,
    ratios: measureShareRatios(peakResults),
    checksInTime: selectInTime(checks).length / checks.length,
    lookupP99: p99LatencyMs(selectClass(peakResults, 'lookup').filter(({ outcome }) => (
      outcome === 'success'
    ))),
    unknown: peakResults.filter(({ outcome }) => outcome === 'unknown').length
      / peakResults.length,
    notRun: results.filter(({ outcome }) => outcome === 'not run').length,
    falseNotRun: countFalseNotRun(results, executions),
    repeated: countRepeatedSubmissions(results, executions),
    after: selectInTime(afterPeak).length / afterPeak.length,
  };
};

type RunSummary = ReturnType<typeof summarizeRun>;

/** Replaces a ratio with denominator 0 by `null`. */
const finiteOrNull = (value: number | null) => (Number.isFinite(value) ? value : null);

/** Measures goodput, fairness and latency of several customers at a demand peak. */
export const runCrestBench: Bench = async ({ seed }) => {
  const load = generateLoad(seed, DEMANDS.flatMap(createStreams), END_MS);
  const product = summarizeRun(await runProductFleet(PLAN, load, seed));
  const naive = summarizeRun(await runNaiveFleet(PLAN, load));
  const row = (
    metric: string,
    unit: string,
    pick: (summary: RunSummary) => number | null,
    target: BenchTarget | null = null,
  ): BenchRow => ({
    bench: 'crest',
    metric,
    unit,
    naive: finiteOrNull(pick(naive)),
    product: finiteOrNull(pick(product)),
    target,
  });
  const maxDeviation: BenchTarget = { relation: 'at most', value: 0.05 };
  const none: BenchTarget = { relation: 'equal', value: 0 };
  return [
    row('goodput in time over capacity', 'ratio', ({ goodput }) => goodput, {
      relation: 'at least', value: 0.95,
    }),
    row('use of the slots at the crest', 'part', ({ utilization }) => utilization),
    ...DEMANDS.map(({ customer, share }, index) => row(
      `answers in time of customer ${customer} (share ${share}) over its share`,
      'ratio',
      ({ ratios }) => ratios[index]!,
    )),
    row('largest distance of a customer from its share', 'part', ({ ratios }) => (
      Math.max(...ratios.map((value) => Math.abs(value - 1)))
    ), maxDeviation),
    row('checks in time', 'part', ({ checksInTime }) => checksInTime),
    row('p99 of successful lookups', 'ms', ({ lookupP99 }) => lookupP99),
    row('answers unknown', 'part', ({ unknown }) => unknown),
    row('refusals as not run', 'requests', ({ notRun }) => notRun),
    row('false refusals as not run', 'requests', ({ falseNotRun }) => falseNotRun, none),
    row('submissions run twice', 'requests', ({ repeated }) => repeated, none),
    row('in time after the crest', 'part', ({ after }) => after),
  ];
};
