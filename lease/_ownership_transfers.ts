import type { Clock } from '../clock/mod.ts';
import type { OwnerId, PlacementRecord, SlotState } from '../placement/mod.ts';
import { type PlacementUnit, unitsOwnedBy } from './_record_index.ts';

/** Records when an owner received its slots and hot keys from other owners. */
export interface OwnershipTransfers {
  /** Records the units that `record` newly assigns to the owner, compared with `previous`. */
  readonly observe: (record: PlacementRecord, previous: PlacementRecord | undefined) => void;
  /** Monotonic time of the transfer in ms; `undefined` when no other owner had the unit. */
  readonly transferredAtMs: (unit: PlacementUnit) => number | undefined;
}

interface OwnershipStart {
  readonly token: number;
  readonly at: number | undefined;
}

const findFormerOwner = (
  previous: PlacementRecord | undefined,
  unit: PlacementUnit,
  slot: number,
): OwnerId | undefined => {
  const hotState = typeof unit === 'string'
    ? previous?.hotKeys.find(({ key }) => key === unit)?.state
    : undefined;
  return (hotState ?? previous?.slots[slot])?.owner;
};

/** Creates the record of ownership transfers to one owner, initially empty. */
export const createOwnershipTransfers = (
  clock: Clock,
  ownerId: OwnerId,
  slotOfKey: (key: string, slotCount: number) => number,
): OwnershipTransfers => {
  const starts = new Map<PlacementUnit, OwnershipStart>();

  const wasTransferred = (
    unit: PlacementUnit,
    state: SlotState,
    slotCount: number,
    previous: PlacementRecord | undefined,
  ) => {
    if (state.predecessors.length > 0) return true;
    const slot = typeof unit === 'number' ? unit : slotOfKey(unit, slotCount);
    const formerOwner = findFormerOwner(previous, unit, slot);
    if (formerOwner !== undefined && formerOwner !== ownerId) return true;
    // A hot key that has returned to this slot may have been served by another owner.
    return previous?.hotKeys.some(({ key, state: hot }) => (
      hot.owner !== ownerId && slotOfKey(key, slotCount) === slot
    )) ?? false;
  };

  return {
    observe: (record, previous) => {
      for (const { unit, state } of unitsOwnedBy(record, ownerId)) {
        if (starts.get(unit)?.token === state.token) continue;
        const isTransferred = wasTransferred(unit, state, record.slotCount, previous);
        starts.set(unit, { token: state.token, at: isTransferred ? clock.now() : undefined });
      }
    },
    transferredAtMs: (unit) => starts.get(unit)?.at,
  };
};
