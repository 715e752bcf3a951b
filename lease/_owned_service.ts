import { err, ok, type Result } from 'neverthrow';
import type { PlacementRecord, SlotState } from '../placement/mod.ts';
import { createGrantTable } from './_grant_table.ts';
import { createInFlight } from './_in_flight.ts';
import { createInheritance } from './_inheritance.ts';
import type { OwnerContext } from './_owner_context.ts';
import { createPlannedMoves } from './_planned_moves.ts';
import { createPredecessorCleanup } from './_predecessor_cleanup.ts';
import { indexOf, unitsOf } from './_record_index.ts';
import type { LeaseHolder } from './lease_holder.ts';
import type { NotOwned, OwnershipTicket, UpstreamGrants } from './ownership.ts';
import type { Takeover } from './takeover.ts';

interface OwnedServiceOptions extends Omit<OwnerContext, 'isSettled' | 'isCleared'> {
  readonly takeover: Takeover;
  readonly holder: LeaseHolder;
  readonly instance: string;
  readonly grants: UpstreamGrants | undefined;
  readonly slotOfKey: (key: string, slotCount: number) => number;
}

/** A key with its place in a record. */
export interface KeyState {
  readonly record: PlacementRecord;
  readonly key: string;
  readonly slot: number;
  readonly state: SlotState;
}

/** What one owner incarnation of this node has of a service, and the tasks that settle it. */
export const createOwnedService = (options: OwnedServiceOptions) => {
  const {
    placements, service, ownerId, takeover, holder,
  } = options;
  const isCleared = (predecessor: string) => takeover.isCleared(service, predecessor);
  const isSettled = (state: SlotState) => state.predecessors.every(isCleared);
  const context = { ...options, isCleared, isSettled };
  const table = createGrantTable(context);
  const inFlight = createInFlight();
  const moves = createPlannedMoves({
    ...context, inFlight, hasGrant: table.hasGrant, revoke: table.revoke,
  });
  const cleanup = createPredecessorCleanup(context);
  const inheritance = createInheritance(options.clock, ownerId, options.slotOfKey);

  const wake = () => {
    table.wake();
    moves.wake();
    cleanup.wake();
  };

  const settle = (previous?: PlacementRecord) => {
    const record = placements.current(service);
    if (record) inheritance.observe(record, previous);
    const units = unitsOf(record, ownerId);
    const predecessors = new Set(units.flatMap(({ state }) => state.predecessors));
    for (const predecessor of predecessors) {
      if (!isCleared(predecessor)) takeover.clear(service, predecessor, wake);
    }
    wake();
  };

  const refusalOf = ({
    record, key, slot, state,
  }: KeyState): NotOwned['reason'] | undefined => {
    const isLeaving = state.movingTo !== undefined
      || moves.isHandingOver(record, slot)
      || moves.isHandingOver(record, key);
    if (isLeaving) return 'moving';
    const unit = indexOf(record).hotKeys.has(key) ? key : slot;
    return isSettled(state) && table.isGranted(unit, state.token) ? undefined : 'pending';
  };

  const enter = (place: KeyState): Result<OwnershipTicket, NotOwned['reason']> => {
    const refusal = refusalOf(place);
    if (refusal) return err(refusal);
    const hold = holder.hold();
    if (!hold) return err('lapsed');
    const end = inFlight.begin(place.slot, place.key);
    const unit = indexOf(place.record).hotKeys.has(place.key) ? place.key : place.slot;
    return ok({
      service,
      slot: place.slot,
      token: place.state.token,
      version: place.record.version,
      inheritedAt: inheritance.inheritedAt(unit),
      signal: hold.signal,
      release: () => {
        end();
        hold.release();
      },
    });
  };

  settle();

  return {
    ownerId,
    enter,
    settle,
    stop: () => {
      table.stop();
      moves.stop();
      cleanup.stop();
    },
  };
};
