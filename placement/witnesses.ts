import { findOwner, nextRecord, replaceOwner } from './_record_updates.ts';
import { sortByRendezvous } from '../membership/mod.ts';
import type {
  Owner, OwnerId, PlacementRecord, WitnessReference,
} from './placement_record.ts';

/** Number of witnesses per owner. */
export const WITNESS_COUNT = 3;

/** A process that may become a witness, such as a member of the fleet. */
export interface WitnessCandidate {
  readonly node: string;
  readonly incarnation: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly controlAddress: string;
}

/** Options of `chooseWitnesses`. */
export interface WitnessChoiceOptions {
  /** Identifiers of current witnesses to prefer while they are among the candidates. */
  readonly keep?: readonly OwnerId[];
}

const idOf = (candidate: WitnessCandidate) => `${candidate.node}#${candidate.incarnation}`;

/**
 * Chooses the witnesses of an owner. They are placed in three different failure domains of the
 * owner's region if it has that many, else also in domains of other regions, and only then share a
 * domain. With three domains in all, no domain holds a majority of the witnesses, so the loss of
 * one domain never requires an operator. The owner's own node is never chosen. Rendezvous hashing
 * distributes the witness load over the fleet.
 *
 * @param candidates The members of the fleet.
 * @param owner The owner that needs witnesses.
 * @param options Current witnesses to keep.
 * @returns At most three witnesses.
 *
 * @example
 * const witnesses = chooseWitnesses(membership.members(), owner);
 */
export const chooseWitnesses = (
  candidates: readonly WitnessCandidate[],
  owner: Pick<Owner, 'id' | 'node' | 'region'>,
  options: WitnessChoiceOptions = {},
): readonly WitnessReference[] => {
  const keep = new Set(options.keep ?? []);
  const others = candidates.filter((candidate) => candidate.node !== owner.node);
  const ranked = sortByRendezvous(owner.id, others, idOf);
  const ordered = [
    ...ranked.filter((candidate) => keep.has(idOf(candidate))),
    ...ranked.filter((candidate) => !keep.has(idOf(candidate))),
  ];
  const sameRegion = ordered.filter((candidate) => candidate.region === owner.region);
  const chosen = new Map<string, WitnessCandidate>();
  const domains = new Set<string>();
  for (const candidate of [...sameRegion, ...ordered]) {
    if (chosen.size === WITNESS_COUNT) break;
    if (domains.has(candidate.failureDomain)) continue;
    domains.add(candidate.failureDomain);
    chosen.set(candidate.node, candidate);
  }
  for (const candidate of [...sameRegion, ...ordered]) {
    if (chosen.size === WITNESS_COUNT) break;
    if (!chosen.has(candidate.node)) chosen.set(candidate.node, candidate);
  }
  return [...chosen.values()].map((candidate) => ({
    id: idOf(candidate),
    controlAddress: candidate.controlAddress,
    failureDomain: candidate.failureDomain,
  }));
};

const isSameSet = (left: readonly WitnessReference[], right: readonly WitnessReference[]) => {
  const ids = new Set(left.map(({ id }) => id));
  return left.length === right.length && right.every(({ id }) => ids.has(id));
};

/**
 * Starts a joint change of an owner's witnesses: the former set also counts until the owner has
 * acknowledged the new one. No second change can start before then.
 *
 * @param record The record to change.
 * @param ownerId The owner whose witnesses change.
 * @param witnesses The new set.
 * @returns The changed record, or `undefined` when a change is in progress, the set is the same or
 * the owner is unknown or removed.
 *
 * @example
 * const changed = replaceWitnesses(record, 'host-1#a', chooseWitnesses(members, owner));
 */
export const replaceWitnesses = (
  record: PlacementRecord,
  ownerId: OwnerId,
  witnesses: readonly WitnessReference[],
): PlacementRecord | undefined => {
  const owner = findOwner(record, ownerId);
  if (owner === undefined || owner.state === 'removed') return undefined;
  if (owner.previousWitnesses.length > 0 || isSameSet(owner.witnesses, witnesses)) return undefined;
  const changed: Owner = { ...owner, witnesses, previousWitnesses: owner.witnesses };
  return nextRecord(record, { owners: replaceOwner(record, changed) });
};

/**
 * Completes a joint change of witnesses. The owner calls it once the new set renews its lease.
 *
 * @param record The record to change.
 * @param ownerId The owner that acknowledges its new witnesses.
 * @returns The changed record, or `undefined` when no change is in progress.
 *
 * @example
 * const changed = acknowledgeWitnesses(record, 'host-1#a');
 */
export const acknowledgeWitnesses = (
  record: PlacementRecord,
  ownerId: OwnerId,
): PlacementRecord | undefined => {
  const owner = findOwner(record, ownerId);
  if (owner === undefined || owner.state === 'removed') return undefined;
  if (owner.previousWitnesses.length === 0) return undefined;
  return nextRecord(record, {
    owners: replaceOwner(record, { ...owner, previousWitnesses: [] }),
  });
};
