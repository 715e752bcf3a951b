import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock, type FakeClock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import { createAdmission } from './mod.ts';
import { createRandom } from './_test_support.ts';

const SLOTS = 6;

interface Arrival {
  readonly at: number;
  readonly requestClass: RequestClass;
  readonly customer: string;
  readonly share: number;
  readonly serviceMs: number;
  readonly deadlineAt: number;
}

/** A request and its completion time, which is `undefined` when the request was refused. */
interface RequestResult {
  readonly arrival: Arrival;
  readonly endedAt: number | undefined;
}

interface Stream {
  readonly requestClass: RequestClass;
  readonly perSecond: number;
  readonly meanMs: number;
  readonly deadlineMs: number;
  readonly customer?: string;
  readonly share?: number;
  /** Fraction of requests whose service time is 30 times as long. */
  readonly stragglers?: number;
  readonly fromMs?: number;
  readonly toMs: number;
}

/** Generates Poisson arrivals with service times of 0.5 to 1.5 times the mean. */
const generate = (seed: number, streams: readonly Stream[]): readonly Arrival[] => {
  const random = createRandom(seed);
  const arrivals = streams.flatMap((stream) => {
    const found: Arrival[] = [];
    const {
      requestClass, customer = 'a', share = 1, meanMs,
    } = stream;
    let at = stream.fromMs ?? 0;
    for (;;) {
      at += (-Math.log(1 - random()) * 1000) / stream.perSecond;
      if (at >= stream.toMs) return found;
      const stretch = random() < (stream.stragglers ?? 0) ? 30 : 1;
      const serviceMs = meanMs * (0.5 + random()) * stretch;
      found.push({
        at, requestClass, customer, share, serviceMs, deadlineAt: at + stream.deadlineMs,
      });
    }
  });
  return arrivals.sort((left, right) => left.at - right.at);
};

/** Six workers that serve requests in order of arrival, as the upstream does. */
const createWorkers = () => {
  const freeAt = Array.from({ length: SLOTS }, () => 0);
  return (now: number, serviceMs: number) => {
    const first = freeAt.indexOf(Math.min(...freeAt));
    freeAt[first] = Math.max(now, freeAt[first]!) + serviceMs;
    return freeAt[first];
  };
};

/** Baseline without admission control: one unbounded FIFO queue in front of the workers. */
const runNaive = (arrivals: readonly Arrival[]): readonly RequestResult[] => {
  const serve = createWorkers();
  return arrivals.map((arrival) => (
    { arrival, endedAt: serve(arrival.at, arrival.serviceMs) }
  ));
};

const runAdmission = async (arrivals: readonly Arrival[]) => {
  const clock: FakeClock = createFakeClock();
  const admission = createAdmission({ clock, announcedSlots: () => SLOTS });
  const serve = createWorkers();
  const results: RequestResult[] = [];
  const send = async (arrival: Arrival) => {
    const permit = await admission.acquire({ ...arrival, signal: new AbortController().signal });
    if (permit.isErr()) {
      results.push({ arrival, endedAt: undefined });
      return;
    }
    const endedAt = serve(clock.now(), arrival.serviceMs);
    clock.schedule(endedAt - clock.now(), () => {
      results.push({ arrival, endedAt });
      permit.value.release('success');
    });
  };
  for (const arrival of arrivals) {
    await clock.advance(arrival.at - clock.now());
    send(arrival);
  }
  await clock.advance(60_000);
  assert.is(results.length, arrivals.length);
  return results;
};

const percentile = (values: readonly number[], percent: number) => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.ceil((sorted.length * percent) / 100) - 1] ?? 0;
};

const ofClass = (results: readonly RequestResult[], requestClass: RequestClass) => (
  results.filter(({ arrival }) => arrival.requestClass === requestClass)
);

const p99 = (results: readonly RequestResult[], requestClass: RequestClass) => percentile(
  ofClass(results, requestClass)
    .map(({ arrival, endedAt }) => (endedAt === undefined ? Infinity : endedAt - arrival.at)),
  99,
);

const inTime = (results: readonly RequestResult[]) => results.filter(({ arrival, endedAt }) => (
  endedAt !== undefined && endedAt <= arrival.deadlineAt
));

const round = (value: number) => Math.round(value * 1000) / 1000;

const RUN_MS = 60_000;
const checks: Stream = {
  requestClass: 'check', perSecond: 100, meanMs: 2, deadlineMs: 1000, toMs: RUN_MS,
};
const lookups: Stream = {
  requestClass: 'lookup',
  perSecond: 100,
  meanMs: 10,
  deadlineMs: 2000,
  stragglers: 0.02,
  toMs: RUN_MS,
};
const bulk: Stream = {
  requestClass: 'bulk', perSecond: 3.4, meanMs: 1000, deadlineMs: 30_000, toMs: RUN_MS,
};

test('checks are not blocked by bulk requests and stragglers', async () => {
  const idle = p99(await runAdmission(generate(1, [checks])), 'check');
  const load = generate(1, [checks, lookups, bulk]);
  const actual = await runAdmission(load);
  const naive = runNaive(load);
  const goodput = inTime(ofClass(actual, 'bulk')).length / inTime(ofClass(naive, 'bulk')).length;
  console.log('head-of-line', {
    idleP99: round(idle),
    naiveP99: round(p99(naive, 'check')),
    p99: round(p99(actual, 'check')),
    naiveLookupP99: round(p99(naive, 'lookup')),
    lookupP99: round(p99(actual, 'lookup')),
    bulkGoodput: round(goodput),
  });
  assert.ok(p99(actual, 'check') <= 2 * idle);
  assert.ok(goodput >= 0.9);
});

const PEAK_FROM_MS = 5000;
const PEAK_TO_MS = 15_000;

const peakLoad = (seed: number, stragglers: number) => {
  const stream = (customer: string, share: number, perSecond: number): Stream => ({
    requestClass: 'lookup',
    customer,
    share,
    perSecond,
    meanMs: 10,
    deadlineMs: 250,
    stragglers,
    toMs: PEAK_TO_MS,
  });
  const burst = (customer: string, share: number, perSecond: number): Stream => (
    { ...stream(customer, share, perSecond), fromMs: PEAK_FROM_MS }
  );
  // Capacity is 600 requests/s; at the peak 1800 arrive, and 80 of the quiet customer.
  return generate(seed, [
    stream('a', 1, 200), stream('b', 2, 100), stream('quiet', 1, 80),
    burst('a', 1, 1000), burst('b', 2, 500),
  ]);
};

const measurePeak = async (name: string, stragglers: number) => {
  const load = peakLoad(2, stragglers);
  const isAtPeak = ({ arrival }: RequestResult) => (
    arrival.at >= PEAK_FROM_MS + 1000 && arrival.at < PEAK_TO_MS - 1000
  );
  const actual = (await runAdmission(load)).filter(isAtPeak);
  const naive = runNaive(load).filter(isAtPeak);
  const seconds = (PEAK_TO_MS - PEAK_FROM_MS - 2000) / 1000;
  // Capacity of the requests that ran, as a few stragglers more or less change it by 5 %.
  const ran = actual.filter(({ endedAt }) => endedAt !== undefined);
  const meanMs = ran.reduce((sum, { arrival }) => sum + arrival.serviceMs, 0) / ran.length;
  const capacity = (SLOTS * 1000) / meanMs;
  const rateOf = (results: readonly RequestResult[], customer?: string) => inTime(results)
    .filter(({ arrival }) => customer === undefined || arrival.customer === customer)
    .length / seconds;
  const figures = {
    capacity: round(capacity),
    goodput: round(rateOf(actual) / capacity),
    naiveGoodput: round(rateOf(naive) / capacity),
    a: round(rateOf(actual, 'a')),
    b: round(rateOf(actual, 'b')),
    quiet: round(rateOf(actual, 'quiet')),
  };
  console.log(name, figures);
  return figures;
};

test('goodput and fair shares hold at three times the capacity', async () => {
  const figures = await measurePeak('peak load', 0);
  assert.ok(figures.goodput >= 0.95);
  // The quiet customer gets its whole demand; the others divide the rest by their shares.
  const rest = figures.a + figures.b;
  assert.ok(figures.quiet >= 80 * 0.95);
  assert.ok(Math.abs(figures.a / (rest / 3) - 1) <= 0.05);
  assert.ok(Math.abs(figures.b / ((rest * 2) / 3) - 1) <= 0.05);
});

test('stragglers at peak load do not reduce goodput', async () => {
  const figures = await measurePeak('peak load with stragglers', 0.02);
  assert.ok(figures.goodput >= 0.95);
});

test('no class starves and checks meet their deadlines at a peak of all classes', async () => {
  const mix = (factor: number, fromMs: number, toMs: number): readonly Stream[] => {
    const common = { fromMs, toMs };
    return [
      {
        ...common, requestClass: 'check', perSecond: 150 * factor, meanMs: 2, deadlineMs: 200,
      },
      {
        ...common,
        requestClass: 'lookup',
        perSecond: 300 * factor,
        meanMs: 10,
        deadlineMs: 500,
        stragglers: 0.01,
      },
      {
        ...common, requestClass: 'submission', perSecond: 50 * factor, meanMs: 15, deadlineMs: 1000,
      },
      {
        ...common, requestClass: 'bulk', perSecond: factor, meanMs: 1000, deadlineMs: 10_000,
      },
    ];
  };
  const load = generate(3, [...mix(0.8, 0, 5000), ...mix(3, 5000, 20_000)]);
  const atPeak = (results: readonly RequestResult[]) => results.filter(({ arrival }) => (
    arrival.at >= 6000 && arrival.at < 19_000
  ));
  const actual = atPeak(await runAdmission(load));
  const workOf = (results: readonly RequestResult[]) => inTime(results)
    .reduce((sum, { arrival }) => sum + arrival.serviceMs, 0) / (13_000 * SLOTS);
  const classWork = (['check', 'lookup', 'submission', 'bulk'] as const)
    .map((name) => [name, round(workOf(ofClass(actual, name)))] as const);
  const checksInTime = inTime(ofClass(actual, 'check')).length / ofClass(actual, 'check').length;
  console.log('mixed peak load', {
    goodput: round(workOf(actual)),
    naiveGoodput: round(workOf(atPeak(runNaive(load)))),
    checksInTime: round(checksInTime),
    ...Object.fromEntries(classWork),
  });
  assert.ok(workOf(actual) >= 0.95);
  assert.ok(checksInTime >= 0.95);
  // Each of these classes has weight 2 of a total of 10.
  for (const [name, work] of classWork) assert.ok(name === 'check' || work >= 0.2, name);
});

test.run();
