import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RequestClass } from '../contract/mod.ts';

/** Uniform numbers from 0 to less than 1. */
export type Random = () => number;

/** One request of a load, the same for the product and for the naive version. */
export interface Arrival {
  readonly id: number;
  readonly at: number;
  readonly requestClass: RequestClass;
  readonly customer: string;
  readonly share: number;
  /** Time that the request takes at an instance of speed 1. */
  readonly workMs: number;
  readonly deadlineAt: number;
  /** Uniform number that selects the ingress node. */
  readonly ingress: number;
}

/** A Poisson process of requests of one class and customer. */
export interface Stream {
  readonly requestClass: RequestClass;
  readonly meanMs: number;
  readonly deadlineMs: number;
  /** Requests per second at a time in ms; never above `maxPerSecond`. */
  readonly rateAt: (atMs: number) => number;
  readonly maxPerSecond: number;
  readonly customer?: string;
  readonly share?: number;
  /** Fraction of requests that run `STRAGGLER_FACTOR` times longer. */
  readonly stragglers?: number;
}

/** Time of a straggler over that of an ordinary request. */
export const STRAGGLER_FACTOR = 30;

/** Neighbouring small seeds give nearly the same first numbers. */
const SEED_FACTOR = 0x9e3779b1;

/** Creates uniform numbers from a seed. */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(Math.imul(seed, SEED_FACTOR));
  return () => uniformFloat64(generator);
};

const generateStream = (random: Random, stream: Stream, untilMs: number) => {
  const {
    requestClass, meanMs, customer = 'a', share = 1, stragglers = 0,
  } = stream;
  const found: Omit<Arrival, 'id'>[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - random()) * 1000) / stream.maxPerSecond;
    if (at >= untilMs) return found;
    // Thinning of a process at the highest rate gives one of a varying rate.
    if (random() * stream.maxPerSecond >= stream.rateAt(at)) continue;
    const stretch = random() < stragglers ? STRAGGLER_FACTOR : 1;
    found.push({
      at,
      requestClass,
      customer,
      share,
      workMs: meanMs * (0.5 + random()) * stretch,
      deadlineAt: at + stream.deadlineMs,
      ingress: random(),
    });
  }
};

/**
 * Generates a load with service times of 0.5 to 1.5 of the mean.
 *
 * @param seed Seed of the arrival process.
 * @param streams The streams that make up the load.
 * @param untilMs End of the load.
 * @returns The requests in order of arrival.
 *
 * @example
 * const arrivals = generateLoad(1, streams, 60_000);
 */
export const generateLoad = (
  seed: number,
  streams: readonly Stream[],
  untilMs: number,
): readonly Arrival[] => {
  const random = createRandom(seed);
  return streams
    .flatMap((stream) => generateStream(random, stream, untilMs))
    .sort((left, right) => left.at - right.at)
    .map((arrival, id) => ({ ...arrival, id }));
};

/** A rate that does not change. */
export const steady = (perSecond: number): Pick<Stream, 'rateAt' | 'maxPerSecond'> => ({
  rateAt: () => perSecond, maxPerSecond: perSecond,
});

/** How a request ended, as its caller sees it. */
export interface Answer {
  readonly arrival: Arrival;
  readonly outcome: 'success' | 'not run' | 'unknown';
  /** Time at which the caller received the end of the answer. */
  readonly endedAt: number;
}
