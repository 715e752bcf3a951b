import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import type { LogFields } from '../telemetry/mod.ts';
import { sortByRendezvous } from '../membership/mod.ts';
import { combineChanges, type RecordChange } from './combine_changes.ts';
import { dropHotKey, setHotKey } from './hot_keys.ts';
import { moveSource, startMoves } from './moves.ts';
import { isReferenced, removeOwner } from './owner_changes.ts';
import { planHotKeys, type ServiceLoad } from './plan_hot_keys.ts';
import { processIdOf } from './owner_id.ts';
import { planRebalance, type RebalanceOptions } from './plan_rebalance.ts';
import type { Owner, OwnerId, PlacementRecord } from './placement_record.ts';
import type { SlotOfKey } from './slot_of_key.ts';
import { chooseWitnesses, replaceWitnesses, WITNESS_COUNT } from './witnesses.ts';

/** A placement decision, written to the log once the change is stored. */
export interface Decision {
  readonly message: string;
  readonly fields: LogFields;
}

/** Inputs of a decision other than the record itself. */
export interface ClusterView {
  readonly members: readonly MemberUpdate[];
  readonly slotOfKey: SlotOfKey;
  readonly load: ServiceLoad | undefined;
  readonly rebalance: RebalanceOptions;
}

/** The changed record and its decisions; `undefined` and empty when no change is needed. */
export interface DecidedChanges {
  readonly record: PlacementRecord | undefined;
  readonly decisions: readonly Decision[];
}

type AddDecision = (message: string, fields: LogFields) => void;

/** Returns a predicate: whether the process of an owner or witness is a fleet member. */
const createMemberCheck = (members: readonly MemberUpdate[]) => {
  const ids = new Set<OwnerId>(members.map(({ node, incarnation }) => `${node}#${incarnation}`));
  return (id: OwnerId | undefined) => id !== undefined && ids.has(processIdOf(id));
};

/** Rendezvous order by owner list; the list is a new object whenever the owners change. */
const rankings = new WeakMap<readonly Owner[], readonly Owner[]>();

const rankOwners = ({ service, owners }: PlacementRecord) => {
  const cached = rankings.get(owners);
  if (cached !== undefined) return cached;
  const ranked = sortByRendezvous(service, owners, ({ id }) => id);
  rankings.set(owners, ranked);
  return ranked;
};

/**
 * Returns the owner whose node changes the record: the first in rendezvous order among the active
 * owners that are fleet members, or among the leaving ones when no active owner is a member.
 */
export const findCoordinator = (
  record: PlacementRecord,
  members: readonly MemberUpdate[],
): OwnerId | undefined => {
  const isMember = createMemberCheck(members);
  const present = rankOwners(record).filter(({ id }) => isMember(id));
  const coordinator = present.find(({ state }) => state === 'active')
    ?? present.find(({ state }) => state === 'leaving');
  return coordinator?.id;
};

/**
 * Replaces witnesses that are not alive. Owners that are not members keep theirs, because those
 * witnesses decide whether the owner is taken over.
 */
const planWitnessChanges = (
  record: PlacementRecord,
  view: ClusterView,
  addDecision: AddDecision,
): RecordChange[] => {
  const isMember = createMemberCheck(view.members);
  const candidates = view.members.filter(({ state }) => state === MemberState.MEMBER_STATE_ALIVE);
  // A suspected witness is replaced at once: while it stays in the set, the loss of a second
  // witness would cost the owner its quorum and its lease.
  const isAlive = createMemberCheck(candidates);
  const changes: RecordChange[] = [];
  for (const owner of record.owners) {
    if (owner.state === 'removed' || !isMember(owner.id)) continue;
    if (owner.previousWitnesses.length > 0) continue;
    const keep = owner.witnesses.map(({ id }) => id).filter(isAlive);
    if (keep.length === WITNESS_COUNT) continue;
    const witnesses = chooseWitnesses(candidates, owner, { keep });
    // A smaller set would tolerate fewer failures than waiting for the witness to return.
    if (witnesses.length < Math.max(1, owner.witnesses.length)) continue;
    changes.push((current) => {
      const changed = replaceWitnesses(current, owner.id, witnesses);
      if (changed !== undefined) {
        const ids = witnesses.map(({ id }) => id);
        addDecision('replaced the witnesses of an owner', { owner: owner.id, witnesses: ids });
      }
      return changed;
    });
  }
  return changes;
};

const planOwnerRemovals = (
  record: PlacementRecord,
  view: ClusterView,
  addDecision: AddDecision,
): RecordChange[] => {
  const isMember = createMemberCheck(view.members);
  return record.owners
    .filter(({ id, state }) => state === 'removed' || (state === 'leaving' && !isMember(id)))
    .filter(({ id }) => !isReferenced(record, id))
    .map(({ id }) => (current) => {
      const changed = removeOwner(current, id);
      if (changed !== undefined) addDecision('removed an unreferenced owner', { owner: id });
      return changed;
    });
};

const planHotKeyChanges = (
  record: PlacementRecord,
  view: ClusterView,
  addDecision: AddDecision,
): RecordChange[] => {
  if (view.load === undefined) return [];
  const plan = planHotKeys(record, view.load);
  const isMember = createMemberCheck(view.members);
  const sets = plan.set.filter(({ to }) => isMember(to))
    .map(({ key, slot, to }): RecordChange => (current) => {
      const changed = setHotKey(current, key, slot, to);
      if (changed !== undefined) addDecision('moving a hot key to its own owner', { slot, to });
      return changed;
    });
  const drops = plan.drop.map((key): RecordChange => (current) => {
    const slot = view.slotOfKey(key, current.slotCount);
    const changed = dropHotKey(current, key, slot);
    if (changed !== undefined) addDecision('returning a hot key to its slot', { slot });
    return changed;
  });
  return [...sets, ...drops];
};

/** Starts planned moves between fleet members; other nodes could not carry them out. */
const planMoveChange = (view: ClusterView, addDecision: AddDecision): RecordChange => (current) => {
  const isMember = createMemberCheck(view.members);
  const moves = planRebalance(current, view.rebalance)
    .filter((move) => isMember(move.to) && isMember(moveSource(current, move)));
  const changed = startMoves(current, moves);
  if (changed !== undefined) addDecision('started planned moves', { moves: moves.length });
  return changed;
};

/** Collects all changes that the coordinating node makes to a record in one write. */
export const decideChanges = (record: PlacementRecord, view: ClusterView): DecidedChanges => {
  const decisions: Decision[] = [];
  const addDecision: AddDecision = (message, fields) => decisions.push({ message, fields });
  const changed = combineChanges(record, [
    ...planWitnessChanges(record, view, addDecision),
    ...planOwnerRemovals(record, view, addDecision),
    ...planHotKeyChanges(record, view, addDecision),
    planMoveChange(view, addDecision),
  ]);
  return { record: changed, decisions };
};
