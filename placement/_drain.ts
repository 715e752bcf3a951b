import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { Decision } from './_decide_changes.ts';
import { combineChanges } from './combine_changes.ts';
import { sourceOf, startMoves } from './moves.ts';
import { removeOwner, startLeaving } from './owner_changes.ts';
import { planRebalance, type RebalanceOptions } from './plan_rebalance.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';
import type { Placements } from './placements.ts';

const CHECK_PERIOD_MS = 250;

interface DrainContext {
  readonly placements: Placements;
  readonly clock: Clock;
  readonly ownerIdOf: (service: string) => OwnerId;
  readonly rebalance: RebalanceOptions;
  readonly signal: AbortSignal;
  readonly log: (service: string, version: number, decision: Decision) => void;
  readonly isPresent: (ownerId: OwnerId) => boolean;
}

const findSelf = (record: PlacementRecord | undefined, ownerId: OwnerId) => (
  record?.owners.find(({ id, state }) => id === ownerId && state !== 'removed')
);

const ownsAnything = (record: PlacementRecord, ownerId: OwnerId) => (
  record.slots.some(({ owner }) => owner === ownerId)
  || record.hotKeys.some(({ state }) => state.owner === ownerId)
);

/** Marks the owner as leaving, plans moves for what it still owns, and removes it at the end. */
const changeOf = ({ ownerIdOf, rebalance, isPresent }: DrainContext) => (
  record: PlacementRecord | undefined,
) => {
  if (record === undefined) return undefined;
  const ownerId = ownerIdOf(record.service);
  if (findSelf(record, ownerId) === undefined) return undefined;
  return combineChanges(record, [
    (current) => startLeaving(current, ownerId),
    (current) => startMoves(current, planRebalance(current, rebalance).filter((move) => (
      isPresent(move.to) && sourceOf(current, move) === ownerId
    ))),
    (current) => removeOwner(current, ownerId),
  ]);
};

/** One step for one service; returns whether the owner owns nothing there. */
const drainService = async (context: DrainContext, service: string): Promise<boolean> => {
  const { placements, log } = context;
  const ownerId = context.ownerIdOf(service);
  const before = placements.current(service);
  const self = findSelf(before, ownerId);
  if (before === undefined || self === undefined) return true;
  // The store is read only when the record known here asks for a change.
  if (changeOf(context)(before) === undefined) return !ownsAnything(before, ownerId);
  const outcome = await placements.update(service, changeOf(context));
  if (outcome.isErr()) return false;
  const after = outcome.value;
  if (after === undefined || findSelf(after, ownerId) === undefined) {
    const fields = { owner: ownerId };
    log(service, after?.version ?? 0, { sentence: 'left the service as an owner', fields });
    return true;
  }
  if (self.state === 'active') {
    const moves = after.slots
      .filter(({ owner, movingTo }) => owner === ownerId && movingTo !== undefined).length;
    const fields = { owner: ownerId, moves };
    log(service, after.version, { sentence: 'began to leave the service', fields });
  }
  return !ownsAnything(after, ownerId);
};

export const runDrain = async (context: DrainContext): Promise<Result<void, StepError>> => {
  const { placements, clock, signal } = context;
  for (;;) {
    let isDone = true;
    for (const service of placements.services()) {
      if (!await drainService(context, service)) isDone = false;
    }
    if (isDone) return ok(undefined);
    if (signal.aborted) {
      const reason = 'an owner of this node still owns slots';
      return err(new StepError(reason, { step: 'placement.drain' }));
    }
    await clock.sleep(CHECK_PERIOD_MS, signal);
  }
};
