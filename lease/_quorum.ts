import type { Owner, OwnerId, WitnessReference } from '../placement/mod.ts';

/** The witness sets of an owner: the current one and, during a joint change, the previous one. */
export const witnessSets = (owner: Owner): readonly (readonly WitnessReference[])[] => (
  owner.previousWitnesses.length === 0
    ? [owner.witnesses]
    : [owner.witnesses, owner.previousWitnesses]
);

/** Every witness of both sets once, those of the previous set first. */
export const allWitnesses = (owner: Owner): readonly WitnessReference[] => {
  const byId = new Map<OwnerId, WitnessReference>();
  for (const reference of [...owner.previousWitnesses, ...owner.witnesses]) {
    byId.set(reference.id, reference);
  }
  return [...byId.values()];
};

const majorityOf = (set: readonly unknown[]) => Math.floor(set.length / 2) + 1;

/** Tells whether a majority of each set satisfies `test`. An empty set has no majority. */
export const hasMajorities = (
  sets: readonly (readonly WitnessReference[])[],
  test: (witness: OwnerId) => boolean,
): boolean => sets.every((set) => (
  set.filter((reference) => test(reference.id)).length >= majorityOf(set)
));

/**
 * The latest time up to which a majority of each set reaches: the smallest over the sets of the
 * time that a majority has at least. `-Infinity` when a set has no majority.
 */
export const latestMajorityTime = (
  sets: readonly (readonly WitnessReference[])[],
  timeOf: (witness: OwnerId) => number,
): number => Math.min(...sets.map((set) => {
  const times = set.map((reference) => timeOf(reference.id)).sort((left, right) => right - left);
  return times[majorityOf(set) - 1] ?? -Infinity;
}));

/**
 * The earliest time at which a majority of each set has passed its own time. `Infinity` when a set
 * has no majority.
 */
export const earliestMajorityTime = (
  sets: readonly (readonly WitnessReference[])[],
  timeOf: (witness: OwnerId) => number,
): number => -latestMajorityTime(sets, (witness) => -timeOf(witness));

/** Node part of an identifier `node#incarnation`. */
export const nodeOf = (id: OwnerId): string => id.slice(0, id.lastIndexOf('#'));

/** Tells whether two owners name the same witnesses in both sets. */
export const sameWitnesses = (left: Owner, right: Owner): boolean => {
  const names = (owner: Owner) => JSON.stringify(
    [owner.witnesses, owner.previousWitnesses].map((set) => set.map(({ id }) => id).sort()),
  );
  return left === right || names(left) === names(right);
};
