import type { Bench, BenchRow, BenchTarget } from './bench.ts';
import type { CustomerPlan, FleetPlan, FleetRun } from './_fleet_plan.ts';
import { generateLoad, type Stream } from './_load_arrivals.ts';
import {
  arrivedWithin, countFalseNotRun, countRepeatedSubmissions, endedWithin, inTime, ofClass, p99,
} from './_load_figures.ts';
import { runNaiveFleet } from './_naive_fleet.ts';
import { runProductFleet } from './_product_fleet.ts';

interface Demand extends CustomerPlan {
  /** Requests per second before and after the crest, over capacity. */
  readonly base: number;
  /** Requests per second at the crest, over capacity. */
  readonly crest: number;
}

const SLOTS = 9;
const INSTANCE_COUNT = 4;
const NODE_COUNT = 5;
const RISE_FROM_MS = 4000;
const RISE_MS = 2000;
const FALL_FROM_MS = 14_000;
const END_MS = 19_000;
/** The queues are full and the shares apply from here on. */
const CREST_FROM_MS = RISE_FROM_MS + RISE_MS + 1000;
const STRAGGLER_FRACTION = 0.01;
const STRAGGLER_MEAN_FACTOR = 1 + STRAGGLER_FRACTION * 29;
const CHECK_MEAN_MS = 2;
const LOOKUP_MEAN_MS = 10;
const SUBMISSION_MEAN_MS = 15;

/** Requests of each class; the same mix for each customer. */
const CLASS_PARTS = { check: 0.1, lookup: 0.7, submission: 0.2 };
const MEAN_WORK_MS = CLASS_PARTS.check * CHECK_MEAN_MS
  + CLASS_PARTS.lookup * LOOKUP_MEAN_MS * STRAGGLER_MEAN_FACTOR
  + CLASS_PARTS.submission * SUBMISSION_MEAN_MS;
const CAPACITY_PER_SECOND = (SLOTS * INSTANCE_COUNT * 1000) / MEAN_WORK_MS;

const WIDE_LIMITS = { requestsPerSecond: 20_000, concurrency: 20_000 };

/**
 * Three times capacity at the crest. `loud` and `quiet` have the same share, which is 0.125 of the
 * capacity: `loud` sends ten times its share, `quiet` less than its share in each class.
 */
const DEMANDS: readonly Demand[] = [
  {
    customer: 'loud', share: 1, base: 0.1, crest: 1.25, ...WIDE_LIMITS,
  },
  {
    customer: 'double', share: 2, base: 0.2, crest: 0.65, ...WIDE_LIMITS,
  },
  {
    customer: 'large', share: 4, base: 0.3, crest: 1, ...WIDE_LIMITS,
  },
  {
    customer: 'quiet', share: 1, base: 0.08, crest: 0.08, ...WIDE_LIMITS,
  },
];

const PLAN: FleetPlan = {
  nodeCount: NODE_COUNT,
  instances: Array.from({ length: INSTANCE_COUNT }, (_, index) => (
    { name: `i${index}`, slots: SLOTS }
  )),
  customers: DEMANDS,
  measureFromMs: CREST_FROM_MS,
  measureToMs: FALL_FROM_MS,
};

/** Part of the way to the crest, from 0 to 1, with a rise and a fall of 2 s. */
const heightAt = (atMs: number) => Math.max(0, Math.min(
  1,
  (atMs - RISE_FROM_MS) / RISE_MS,
  (FALL_FROM_MS + RISE_MS - atMs) / RISE_MS,
));

const streamsOf = ({
  customer, share, base, crest,
}: Demand): readonly Stream[] => {
  const streamOf = (requestClass: keyof typeof CLASS_PARTS) => {
    const factor = CAPACITY_PER_SECOND * CLASS_PARTS[requestClass];
    return {
      requestClass,
      customer,
      share,
      rateAt: (atMs: number) => factor * (base + (crest - base) * heightAt(atMs)),
      maxPerSecond: factor * Math.max(base, crest),
    };
  };
  return [
    { ...streamOf('check'), meanMs: CHECK_MEAN_MS, deadlineMs: 200 },
    {
      ...streamOf('lookup'),
      meanMs: LOOKUP_MEAN_MS,
      deadlineMs: 500,
      stragglers: STRAGGLER_FRACTION,
    },
    { ...streamOf('submission'), meanMs: SUBMISSION_MEAN_MS, deadlineMs: 1000 },
  ];
};

/** Divides a total by share; who asks for less gets what it asks for. */
const divideByShare = (total: number, demands: ReadonlyMap<string, number>) => {
  const parts = new Map<string, number>();
  let open = [...DEMANDS];
  let left = total;
  for (;;) {
    const shares = open.reduce((sum, { share }) => sum + share, 0);
    const unit = left / shares;
    const content = open.filter(({ customer, share }) => demands.get(customer)! <= unit * share);
    if (content.length === 0) {
      for (const { customer, share } of open) parts.set(customer, unit * share);
      return parts;
    }
    for (const { customer } of content) {
      parts.set(customer, demands.get(customer)!);
      left -= demands.get(customer)!;
    }
    open = open.filter((demand) => !content.includes(demand));
    if (open.length === 0) return parts;
  }
};

const countByCustomer = (answers: FleetRun['answers']) => {
  const counts = new Map(DEMANDS.map(({ customer }) => [customer, 0]));
  for (const { arrival: { customer } } of answers) counts.set(customer, counts.get(customer)! + 1);
  return counts;
};

/** What each customer received over what it is due, class by class, as the design divides it. */
const measureShares = (crestAnswers: FleetRun['answers']) => {
  const due = new Map(DEMANDS.map(({ customer }) => [customer, 0]));
  for (const requestClass of Object.keys(CLASS_PARTS) as (keyof typeof CLASS_PARTS)[]) {
    const asked = ofClass(crestAnswers, requestClass);
    const parts = divideByShare(inTime(asked).length, countByCustomer(asked));
    for (const [customer, part] of parts) due.set(customer, due.get(customer)! + part);
  }
  const received = countByCustomer(inTime(crestAnswers));
  return DEMANDS.map(({ customer }) => received.get(customer)! / due.get(customer)!);
};

const figuresOf = ({ answers, busyMs, executions }: FleetRun) => {
  const crestAnswers = arrivedWithin(answers, CREST_FROM_MS, FALL_FROM_MS);
  const checks = ofClass(crestAnswers, 'check');
  const ended = endedWithin(answers, CREST_FROM_MS, FALL_FROM_MS)
    .filter(({ arrival }) => executions(arrival.id) > 0);
  const slotMs = SLOTS * INSTANCE_COUNT * (FALL_FROM_MS - CREST_FROM_MS);
  const use = busyMs.reduce((sum, busy) => sum + busy, 0) / slotMs;
  const after = arrivedWithin(answers, FALL_FROM_MS + RISE_MS, END_MS);
  return {
    // Capacity is what would have ended, had every slot been in use all the time. Stragglers count
    // for the time until they were cancelled.
    goodput: inTime(ended).length / (ended.length / use),
    use,
    ratios: measureShares(crestAnswers),
    checksInTime: inTime(checks).length / checks.length,
    lookupP99: p99(ofClass(crestAnswers, 'lookup').filter(({ outcome }) => outcome === 'success')),
    unknown: crestAnswers.filter(({ outcome }) => outcome === 'unknown').length
      / crestAnswers.length,
    notRun: answers.filter(({ outcome }) => outcome === 'not run').length,
    falseNotRun: countFalseNotRun(answers, executions),
    repeated: countRepeatedSubmissions(answers, executions),
    after: inTime(after).length / after.length,
  };
};

type Figures = ReturnType<typeof figuresOf>;

/** A part of nothing is no figure. */
const finite = (value: number | null) => (Number.isFinite(value) ? value : null);

/** Measures service at the peak of a demand swing, for several customers. */
export const crest: Bench = async ({ seed }) => {
  const load = generateLoad(seed, DEMANDS.flatMap(streamsOf), END_MS);
  const product = figuresOf(await runProductFleet(PLAN, load, seed));
  const naive = figuresOf(await runNaiveFleet(PLAN, load));
  const row = (
    metric: string,
    unit: string,
    pick: (figures: Figures) => number | null,
    target: BenchTarget | null = null,
  ): BenchRow => ({
    bench: 'crest',
    metric,
    unit,
    naive: finite(pick(naive)),
    product: finite(pick(product)),
    target,
  });
  const within: BenchTarget = { relation: 'at most', value: 0.05 };
  const none: BenchTarget = { relation: 'equal', value: 0 };
  return [
    row('goodput in time over capacity', 'ratio', ({ goodput }) => goodput, {
      relation: 'at least', value: 0.95,
    }),
    row('use of the slots at the crest', 'part', ({ use }) => use),
    ...DEMANDS.map(({ customer, share }, index) => row(
      `answers in time of customer ${customer} (share ${share}) over its share`,
      'ratio',
      ({ ratios }) => ratios[index]!,
    )),
    row('largest distance of a customer from its share', 'part', ({ ratios }) => (
      Math.max(...ratios.map((value) => Math.abs(value - 1)))
    ), within),
    row('checks in time', 'part', ({ checksInTime }) => checksInTime),
    row('p99 of successful lookups', 'ms', ({ lookupP99 }) => lookupP99),
    row('answers unknown', 'part', ({ unknown }) => unknown),
    row('refusals as not run', 'requests', ({ notRun }) => notRun),
    row('false refusals as not run', 'requests', ({ falseNotRun }) => falseNotRun, none),
    row('submissions run twice', 'requests', ({ repeated }) => repeated, none),
    row('in time after the crest', 'part', ({ after }) => after),
  ];
};
