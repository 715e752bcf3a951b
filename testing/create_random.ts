import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns a whole number from 0 up to, and without, a limit. */
export type Random = (limit: number) => number;

/**
 * Creates a random source from a seed.
 *
 * @param seed A whole number.
 *
 * @example
 * const random = createRandom(7);
 * const face = 1 + random(6);
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return (limit) => uniformInt(generator, 0, limit - 1);
};
