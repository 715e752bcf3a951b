import type { Owner, OwnerId, WitnessReference } from '../placement/mod.ts';

/** Returns the current witness set of an owner and, during a joint change, the previous one. */
export const witnessSets = (owner: Owner): readonly (readonly WitnessReference[])[] => (
  owner.previousWitnesses.length === 0
    ? [owner.witnesses]
    : [owner.witnesses, owner.previousWitnesses]
);

/** Returns the witnesses of both sets without duplicates, those of the previous set first. */
export const allWitnesses = (owner: Owner): readonly WitnessReference[] => {
  const byId = new Map<OwnerId, WitnessReference>();
  for (const reference of [...owner.previousWitnesses, ...owner.witnesses]) {
    byId.set(reference.id, reference);
  }
  return [...byId.values()];
};

const majoritySize = (set: readonly unknown[]) => Math.floor(set.length / 2) + 1;

/** Checks that a majority of each set satisfies the predicate. An empty set has no majority. */
export const hasMajorityOfEachSet = (
  sets: readonly (readonly WitnessReference[])[],
  isAgreeing: (witness: OwnerId) => boolean,
): boolean => sets.every((set) => (
  set.filter((reference) => isAgreeing(reference.id)).length >= majoritySize(set)
));

/**
 * Returns the latest time `t` such that in each set a majority of the witnesses has a time of at
 * least `t`. `-Infinity` when a set is empty.
 */
export const latestMajorityTime = (
  sets: readonly (readonly WitnessReference[])[],
  timeOf: (witness: OwnerId) => number,
): number => Math.min(...sets.map((set) => {
  const times = set.map((reference) => timeOf(reference.id)).sort((left, right) => right - left);
  return times[majoritySize(set) - 1] ?? -Infinity;
}));

/**
 * Returns the earliest time `t` such that in each set a majority of the witnesses has a time of at
 * most `t`. `Infinity` when a set is empty.
 */
export const earliestMajorityTime = (
  sets: readonly (readonly WitnessReference[])[],
  timeOf: (witness: OwnerId) => number,
): number => -latestMajorityTime(sets, (witness) => -timeOf(witness));

/** Returns the node part of an identifier `node#incarnation`. */
export const nodeOf = (id: OwnerId): string => id.slice(0, id.lastIndexOf('#'));

/** Checks that two owners have the same current and the same previous witnesses, in any order. */
export const haveSameWitnesses = (left: Owner, right: Owner): boolean => {
  const witnessIds = (owner: Owner) => JSON.stringify(
    [owner.witnesses, owner.previousWitnesses].map((set) => set.map(({ id }) => id).sort()),
  );
  return left === right || witnessIds(left) === witnessIds(right);
};
