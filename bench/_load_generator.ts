import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RequestClass } from '../contract/mod.ts';

/** Returns a uniform random number in [0, 1). */
export type RandomFraction = () => number;

/** One generated request; the product and the naive version receive the same ones. */
export interface Arrival {
  readonly id: number;
  /** Arrival time in ms since the start of the run. */
  readonly arrivedAt: number;
  readonly requestClass: RequestClass;
  readonly customer: string;
  readonly share: number;
  /** Duration of the request at an instance of speed 1. */
  readonly serviceTimeMs: number;
  readonly deadlineAt: number;
  /** Uniform random number in [0, 1) that selects the ingress node. */
  readonly ingressFraction: number;
}

/** A Poisson arrival process of requests of one class and customer. */
export interface ArrivalStream {
  readonly requestClass: RequestClass;
  readonly meanServiceTimeMs: number;
  readonly deadlineMs: number;
  /** Returns the rate in requests per second at a time in ms; at most `maxPerSecond`. */
  readonly rateAt: (atMs: number) => number;
  readonly maxPerSecond: number;
  readonly customer?: string;
  readonly share?: number;
  /** Fraction of requests whose service time is `STRAGGLER_FACTOR` times longer. */
  readonly stragglerFraction?: number;
}

/** Service time of a straggler relative to a normal request. */
export const STRAGGLER_FACTOR = 30;

/** Spreads seeds over 32 bits; adjacent small seeds would give almost the same first numbers. */
const SEED_MULTIPLIER = 0x9e3779b1;

/** Creates a seeded generator of uniform random numbers. */
export const createRandom = (seed: number): RandomFraction => {
  const generator = xoroshiro128plus(Math.imul(seed, SEED_MULTIPLIER));
  return () => uniformFloat64(generator);
};

const generateArrivals = (random: RandomFraction, stream: ArrivalStream, endMs: number) => {
  const {
    requestClass, meanServiceTimeMs, customer = 'a', share = 1, stragglerFraction = 0,
  } = stream;
  const arrivals: Omit<Arrival, 'id'>[] = [];
  let arrivedAt = 0;
  for (;;) {
    arrivedAt += (-Math.log(1 - random()) * 1000) / stream.maxPerSecond;
    if (arrivedAt >= endMs) return arrivals;
    // Thins a Poisson process of the maximum rate to the rate at this time.
    if (random() * stream.maxPerSecond >= stream.rateAt(arrivedAt)) continue;
    const serviceTimeFactor = random() < stragglerFraction ? STRAGGLER_FACTOR : 1;
    arrivals.push({
      arrivedAt,
      requestClass,
      customer,
      share,
      serviceTimeMs: meanServiceTimeMs * (0.5 + random()) * serviceTimeFactor,
      deadlineAt: arrivedAt + stream.deadlineMs,
      ingressFraction: random(),
    });
  }
};

/**
 * Generates a load with service times of 0.5 to 1.5 times the mean, apart from stragglers.
 *
 * @param seed Seed of the random numbers.
 * @param streams The arrival processes of the load.
 * @param endMs End of the load in ms.
 * @returns The requests in order of arrival.
 *
 * @example
 * const arrivals = generateLoad(1, streams, 60_000);
 */
export const generateLoad = (
  seed: number,
  streams: readonly ArrivalStream[],
  endMs: number,
): readonly Arrival[] => {
  const random = createRandom(seed);
  return streams
    .flatMap((stream) => generateArrivals(random, stream, endMs))
    .sort((left, right) => left.arrivedAt - right.arrivedAt)
    .map((arrival, id) => ({ ...arrival, id }));
};

/** Creates a constant arrival rate. */
export const constantRate = (
  perSecond: number,
): Pick<ArrivalStream, 'rateAt' | 'maxPerSecond'> => ({
  rateAt: () => perSecond, maxPerSecond: perSecond,
});

/** Outcome of a request as its caller observes it. */
export interface RequestResult {
  readonly arrival: Arrival;
  readonly outcome: 'success' | 'not run' | 'unknown';
  /** Time in ms at which the caller received the end of the response. */
  readonly endedAt: number;
}
