import { sortByRendezvous } from '../membership/mod.ts';

/** An instance that may belong to a subset. */
export interface SubsetCandidate {
  readonly instance: string;
  /** Whether the instance is in the failure domain of this node. */
  readonly isNear: boolean;
}

/** Bounds of a subset. */
export interface SubsetOptions {
  /** Number of instances up to which no subset is made, and size of a subset. */
  readonly size?: number;
}

const DEFAULT_SUBSET_SIZE = 20;

/**
 * Chooses the instances that a node sends to, so that connections and load reports per node stay
 * bounded. Up to half are in the node's own failure domain. A joining or leaving instance changes
 * a subset by at most one.
 *
 * @param node Name of this node.
 * @param candidates All instances of the service.
 * @param options Size of the subset.
 * @returns The subset.
 *
 * @example
 * const subset = chooseSubset('n1', candidates, { size: 20 });
 */
export const chooseSubset = <Candidate extends SubsetCandidate>(
  node: string,
  candidates: readonly Candidate[],
  options: SubsetOptions = {},
): readonly Candidate[] => {
  const size = options.size ?? DEFAULT_SUBSET_SIZE;
  if (candidates.length <= size) return candidates;
  const ordered = sortByRendezvous(node, candidates, ({ instance }) => instance);
  const near = ordered.filter(({ isNear }) => isNear).slice(0, Math.ceil(size / 2));
  const taken = new Set(near);
  return [...near, ...ordered.filter((candidate) => !taken.has(candidate))].slice(0, size);
};
