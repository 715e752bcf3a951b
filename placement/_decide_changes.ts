import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import type { LogFields } from '../telemetry/mod.ts';
import { sortByRendezvous } from '../membership/mod.ts';
import { combineChanges, type RecordChange } from './combine_changes.ts';
import { dropHotKey, setHotKey } from './hot_keys.ts';
import { sourceOf, startMoves } from './moves.ts';
import { isReferenced, removeOwner } from './owner_changes.ts';
import { planHotKeys, type ServiceLoad } from './plan_hot_keys.ts';
import { processIdOf } from './owner_id.ts';
import { planRebalance, type RebalanceOptions } from './plan_rebalance.ts';
import type { Owner, OwnerId, PlacementRecord } from './placement_record.ts';
import type { SlotOfKey } from './slot_of_key.ts';
import { chooseWitnesses, replaceWitnesses, WITNESS_COUNT } from './witnesses.ts';

/** One decision, for the log. */
export interface Decision {
  readonly sentence: string;
  readonly fields: LogFields;
}

/** What a node knows besides the record. */
export interface PlacerView {
  readonly members: readonly MemberUpdate[];
  readonly slotOfKey: SlotOfKey;
  readonly load: ServiceLoad | undefined;
  readonly rebalance: RebalanceOptions;
}

/** The changed record and what was decided; empty when nothing is to be done. */
export interface DecidedChanges {
  readonly record: PlacementRecord | undefined;
  readonly decisions: readonly Decision[];
}

type Note = (sentence: string, fields: LogFields) => void;

/** Tells whether the process behind an owner or a witness is among the members. */
const createPresence = (members: readonly MemberUpdate[]) => {
  const ids = new Set<OwnerId>(members.map(({ node, incarnation }) => `${node}#${incarnation}`));
  return (id: OwnerId | undefined) => id !== undefined && ids.has(processIdOf(id));
};

const rankings = new WeakMap<readonly Owner[], readonly Owner[]>();

const rankOwners = ({ service, owners }: PlacementRecord) => {
  const known = rankings.get(owners);
  if (known !== undefined) return known;
  const ranked = sortByRendezvous(service, owners, ({ id }) => id);
  rankings.set(owners, ranked);
  return ranked;
};

/**
 * The owner whose node changes the record: the first by rendezvous hash among the active owners
 * that membership shows, otherwise among the leaving ones.
 */
export const findActor = (
  record: PlacementRecord,
  members: readonly MemberUpdate[],
): OwnerId | undefined => {
  const isPresent = createPresence(members);
  const seen = rankOwners(record).filter(({ id }) => isPresent(id));
  const actor = seen.find(({ state }) => state === 'active')
    ?? seen.find(({ state }) => state === 'leaving');
  return actor?.id;
};

/** Owners that membership does not show keep their witnesses, which decide about the takeover. */
const witnessChanges = (record: PlacementRecord, view: PlacerView, note: Note): RecordChange[] => {
  const isPresent = createPresence(view.members);
  const candidates = view.members.filter(({ state }) => state === MemberState.MEMBER_STATE_ALIVE);
  // A witness is replaced as soon as it is suspected: until then a second loss ends the lease.
  const isAlive = createPresence(candidates);
  const changes: RecordChange[] = [];
  for (const owner of record.owners) {
    if (owner.state === 'removed' || !isPresent(owner.id)) continue;
    if (owner.previousWitnesses.length > 0) continue;
    const keep = owner.witnesses.map(({ id }) => id).filter(isAlive);
    if (keep.length === WITNESS_COUNT) continue;
    const witnesses = chooseWitnesses(candidates, owner, { keep });
    // A smaller set would tolerate fewer losses than waiting for the witness to return.
    if (witnesses.length < Math.max(1, owner.witnesses.length)) continue;
    changes.push((current) => {
      const changed = replaceWitnesses(current, owner.id, witnesses);
      if (changed !== undefined) {
        const ids = witnesses.map(({ id }) => id);
        note('replaced the witnesses of an owner', { owner: owner.id, witnesses: ids });
      }
      return changed;
    });
  }
  return changes;
};

const forgetChanges = (record: PlacementRecord, view: PlacerView, note: Note): RecordChange[] => {
  const isPresent = createPresence(view.members);
  return record.owners
    .filter(({ id, state }) => state === 'removed' || (state === 'leaving' && !isPresent(id)))
    .filter(({ id }) => !isReferenced(record, id))
    .map(({ id }) => (current) => {
      const changed = removeOwner(current, id);
      if (changed !== undefined) note('forgot an owner that nothing refers to', { owner: id });
      return changed;
    });
};

const hotKeyChanges = (record: PlacementRecord, view: PlacerView, note: Note): RecordChange[] => {
  if (view.load === undefined) return [];
  const plan = planHotKeys(record, view.load);
  const isPresent = createPresence(view.members);
  const sets = plan.set.filter(({ to }) => isPresent(to))
    .map(({ key, slot, to }): RecordChange => (current) => {
      const changed = setHotKey(current, key, slot, to);
      if (changed !== undefined) note('gave a hot key an owner of its own', { slot, to });
      return changed;
    });
  const drops = plan.drop.map((key): RecordChange => (current) => {
    const slot = view.slotOfKey(key, current.slotCount);
    const changed = dropHotKey(current, key, slot);
    if (changed !== undefined) note('returned a hot key to its slot', { slot });
    return changed;
  });
  return [...sets, ...drops];
};

/** Moves between nodes that membership shows; the others could not carry them out. */
const moveChange = (view: PlacerView, note: Note): RecordChange => (current) => {
  const isPresent = createPresence(view.members);
  const moves = planRebalance(current, view.rebalance)
    .filter((move) => isPresent(move.to) && isPresent(sourceOf(current, move)));
  const changed = startMoves(current, moves);
  if (changed !== undefined) note('started planned moves', { moves: moves.length });
  return changed;
};

/** Decides everything that the acting node changes in one write. */
export const decideChanges = (record: PlacementRecord, view: PlacerView): DecidedChanges => {
  const decisions: Decision[] = [];
  const note: Note = (sentence, fields) => decisions.push({ sentence, fields });
  const changed = combineChanges(record, [
    ...witnessChanges(record, view, note),
    ...forgetChanges(record, view, note),
    ...hotKeyChanges(record, view, note),
    moveChange(view, note),
  ]);
  return { record: changed, decisions };
};
