import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { Decision } from './_decide_changes.ts';
import { combineChanges } from './combine_changes.ts';
import { moveSource, startMoves } from './moves.ts';
import { removeOwner, startLeaving } from './owner_changes.ts';
import { planRebalance, type RebalanceOptions } from './plan_rebalance.ts';
import type { OwnerId, PlacementRecord } from './placement_record.ts';
import type { Placements } from './placements.ts';

const POLL_INTERVAL_MS = 250;

interface DrainContext {
  readonly placements: Placements;
  readonly clock: Clock;
  readonly ownerIdOf: (service: string) => OwnerId;
  readonly rebalance: RebalanceOptions;
  readonly signal: AbortSignal;
  readonly log: (service: string, version: number, decision: Decision) => void;
  readonly isMember: (ownerId: OwnerId) => boolean;
}

const findLocalOwner = (record: PlacementRecord | undefined, ownerId: OwnerId) => (
  record?.owners.find(({ id, state }) => id === ownerId && state !== 'removed')
);

const ownsAnything = (record: PlacementRecord, ownerId: OwnerId) => (
  record.slots.some(({ owner }) => owner === ownerId)
  || record.hotKeys.some(({ state }) => state.owner === ownerId)
);

/**
 * Returns a change that marks the owner as leaving, starts moves for what it still owns, and
 * removes it once nothing refers to it.
 */
const createDrainChange = ({ ownerIdOf, rebalance, isMember }: DrainContext) => (
  record: PlacementRecord | undefined,
) => {
  if (record === undefined) return undefined;
  const ownerId = ownerIdOf(record.service);
  if (findLocalOwner(record, ownerId) === undefined) return undefined;
  return combineChanges(record, [
    (current) => startLeaving(current, ownerId),
    (current) => startMoves(current, planRebalance(current, rebalance).filter((move) => (
      isMember(move.to) && moveSource(current, move) === ownerId
    ))),
    (current) => removeOwner(current, ownerId),
  ]);
};

/** Advances the drain of one service; resolves to whether the owner owns nothing there. */
const drainService = async (context: DrainContext, service: string): Promise<boolean> => {
  const { placements, log } = context;
  const ownerId = context.ownerIdOf(service);
  const before = placements.current(service);
  const ownerBefore = findLocalOwner(before, ownerId);
  if (before === undefined || ownerBefore === undefined) return true;
  // Skips the store read when the cached record needs no change.
  if (createDrainChange(context)(before) === undefined) return !ownsAnything(before, ownerId);
  const outcome = await placements.update(service, createDrainChange(context));
  if (outcome.isErr()) return false;
  const after = outcome.value;
  if (after === undefined || findLocalOwner(after, ownerId) === undefined) {
    const fields = { owner: ownerId };
    log(service, after?.version ?? 0, { message: 'owner left the service', fields });
    return true;
  }
  if (ownerBefore.state === 'active') {
    const moves = after.slots
      .filter(({ owner, movingTo }) => owner === ownerId && movingTo !== undefined).length;
    const fields = { owner: ownerId, moves };
    log(service, after.version, { message: 'owner started to leave the service', fields });
  }
  return !ownsAnything(after, ownerId);
};

/**
 * Drains all services until this node owns nothing, checking at a fixed interval. Fails when the
 * signal aborts first.
 */
export const runDrain = async (context: DrainContext): Promise<Result<void, StepError>> => {
  const { placements, clock, signal } = context;
  for (;;) {
    let isDone = true;
    for (const service of placements.services()) {
      if (!await drainService(context, service)) isDone = false;
    }
    if (isDone) return ok(undefined);
    if (signal.aborted) {
      const reason = 'drain was aborted while this node still owns slots or hot keys';
      return err(new StepError(reason, { step: 'placement.drain' }));
    }
    await clock.sleep(POLL_INTERVAL_MS, signal);
  }
};
