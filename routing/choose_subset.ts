import { sortByRendezvous } from '../membership/mod.ts';

/** An instance that may be selected for a subset. */
export interface SubsetCandidate {
  readonly instance: string;
  /** Whether the instance is in the same failure domain as this node. */
  readonly isSameDomain: boolean;
}

/** Options of subset selection. */
export interface SubsetOptions {
  /** Size of the subset; up to this many instances are used without subsetting. */
  readonly size?: number;
}

const DEFAULT_SUBSET_SIZE = 20;

/**
 * Selects the instances that a node sends requests to, by rendezvous hashing. Subsetting bounds the
 * connections and load reports per node. Up to half of the subset is in the node's own failure
 * domain. An instance that joins or leaves changes a subset by at most one instance.
 *
 * @param node Name of this node.
 * @param candidates All instances of the service.
 * @param options Size of the subset.
 * @returns The selected instances.
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
  const sameDomain = ordered
    .filter(({ isSameDomain }) => isSameDomain)
    .slice(0, Math.ceil(size / 2));
  const selected = new Set(sameDomain);
  return [...sameDomain, ...ordered.filter((candidate) => !selected.has(candidate))].slice(0, size);
};
