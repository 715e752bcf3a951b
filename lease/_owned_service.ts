import { err, ok, type Result } from 'neverthrow';
import type { PlacementRecord, SlotState } from '../placement/mod.ts';
import { createGrantTable } from './_grant_table.ts';
import { createInFlightRequests } from './_in_flight_requests.ts';
import { createOwnershipTransfers } from './_ownership_transfers.ts';
import type { OwnerContext } from './_owner_context.ts';
import { createPlannedMoves } from './_planned_moves.ts';
import { createPredecessorCleanup } from './_predecessor_cleanup.ts';
import { recordIndexOf, unitsOwnedBy } from './_record_index.ts';
import type { LeaseHolder } from './lease_holder.ts';
import type { OwnershipRefusal, OwnershipPermit, UpstreamGrants } from './ownership.ts';
import type { Takeover } from './takeover.ts';

interface OwnedServiceOptions extends Omit<
  OwnerContext,
  'havePredecessorsEnded' | 'hasLeaseEnded'
> {
  readonly takeover: Takeover;
  readonly holder: LeaseHolder;
  readonly instance: string;
  readonly grants: UpstreamGrants | undefined;
  readonly slotOfKey: (key: string, slotCount: number) => number;
}

/** A key with its slot and its state in a placement record. */
export interface KeyPlacement {
  readonly record: PlacementRecord;
  readonly key: string;
  readonly slot: number;
  readonly state: SlotState;
}

/**
 * Creates the ownership of one service by one owner incarnation of this node: the ownership check
 * of its keys, and the tasks for grants, planned moves and predecessors.
 */
export const createOwnedService = (options: OwnedServiceOptions) => {
  const {
    placements, service, ownerId, takeover, holder,
  } = options;
  const hasLeaseEnded = (predecessor: string) => takeover.hasLeaseEnded(service, predecessor);
  const havePredecessorsEnded = (state: SlotState) => state.predecessors.every(hasLeaseEnded);
  const context = { ...options, hasLeaseEnded, havePredecessorsEnded };
  const grantTable = createGrantTable(context);
  const inFlight = createInFlightRequests();
  const moves = createPlannedMoves({
    ...context, inFlight, mayHoldGrant: grantTable.mayHoldGrant, revoke: grantTable.revoke,
  });
  const cleanup = createPredecessorCleanup(context);
  const transfers = createOwnershipTransfers(options.clock, ownerId, options.slotOfKey);

  const wake = () => {
    grantTable.wake();
    moves.wake();
    cleanup.wake();
  };

  const reconcile = (previous?: PlacementRecord) => {
    const record = placements.current(service);
    if (record) transfers.observe(record, previous);
    const units = unitsOwnedBy(record, ownerId);
    const predecessors = new Set(units.flatMap(({ state }) => state.predecessors));
    for (const predecessor of predecessors) {
      if (!hasLeaseEnded(predecessor)) takeover.ensureLeaseEnded(service, predecessor, wake);
    }
    wake();
  };

  const refusalReason = ({
    record, key, slot, state,
  }: KeyPlacement): OwnershipRefusal['reason'] | undefined => {
    const isMoving = state.movingTo !== undefined
      || moves.mayHaveMoved(record, slot)
      || moves.mayHaveMoved(record, key);
    if (isMoving) return 'moving';
    const unit = recordIndexOf(record).hotKeys.has(key) ? key : slot;
    return havePredecessorsEnded(state) && grantTable.isGranted(unit, state.token)
      ? undefined
      : 'pending';
  };

  const acquire = (target: KeyPlacement): Result<OwnershipPermit, OwnershipRefusal['reason']> => {
    const refusal = refusalReason(target);
    if (refusal) return err(refusal);
    const leasePermit = holder.acquire();
    if (!leasePermit) return err('lapsed');
    const endRequest = inFlight.begin(target.slot, target.key);
    const unit = recordIndexOf(target.record).hotKeys.has(target.key) ? target.key : target.slot;
    return ok({
      service,
      slot: target.slot,
      token: target.state.token,
      version: target.record.version,
      transferredAtMs: transfers.transferredAtMs(unit),
      signal: leasePermit.signal,
      release: () => {
        endRequest();
        leasePermit.release();
      },
    });
  };

  reconcile();

  return {
    ownerId,
    acquire,
    reconcile,
    stop: () => {
      grantTable.stop();
      moves.stop();
      cleanup.stop();
    },
  };
};
