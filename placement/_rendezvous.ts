import { createHash } from 'node:crypto';

/**
 * Orders items by rendezvous hash, highest first. Adding or losing one item does not change the
 * order of the others.
 */
export const rankByRendezvous = <T>(
  items: readonly T[],
  idOf: (item: T) => string,
  purpose: string,
): readonly T[] => items
  .map((item) => ({
    item,
    rank: createHash('sha1').update(`${purpose}\n${idOf(item)}`).digest('hex'),
  }))
  .sort((left, right) => (left.rank < right.rank ? 1 : -1))
  .map(({ item }) => item);
