import type { Clock } from '../clock/mod.ts';
import type { OwnerId, PlacementRecord, SlotState } from '../placement/mod.ts';
import { type Unit, unitsOf } from './_record_index.ts';

/** Tells since when an owner has had a unit that another owner had before it. */
export interface Inheritance {
  readonly observe: (record: PlacementRecord, previous: PlacementRecord | undefined) => void;
  /** Monotonic time in ms; `undefined` when no other owner had the unit before. */
  readonly inheritedAt: (unit: Unit) => number | undefined;
}

interface Acquisition {
  readonly token: number;
  readonly at: number | undefined;
}

const ownerBefore = (
  previous: PlacementRecord | undefined,
  unit: Unit,
  slot: number,
): OwnerId | undefined => {
  const hotState = typeof unit === 'string'
    ? previous?.hotKeys.find(({ key }) => key === unit)?.state
    : undefined;
  return (hotState ?? previous?.slots[slot])?.owner;
};

/** Creates the memory of acquisitions of one owner. */
export const createInheritance = (
  clock: Clock,
  ownerId: OwnerId,
  slotOfKey: (key: string, slotCount: number) => number,
): Inheritance => {
  const acquisitions = new Map<Unit, Acquisition>();

  const wasInherited = (
    unit: Unit,
    state: SlotState,
    slotCount: number,
    previous: PlacementRecord | undefined,
  ) => {
    if (state.predecessors.length > 0) return true;
    const slot = typeof unit === 'number' ? unit : slotOfKey(unit, slotCount);
    const before = ownerBefore(previous, unit, slot);
    if (before !== undefined && before !== ownerId) return true;
    // A hot key that returned to its slot was served by the owner of the hot key.
    return previous?.hotKeys.some(({ key, state: hot }) => (
      hot.owner !== ownerId && slotOfKey(key, slotCount) === slot
    )) ?? false;
  };

  return {
    observe: (record, previous) => {
      for (const { unit, state } of unitsOf(record, ownerId)) {
        if (acquisitions.get(unit)?.token === state.token) continue;
        const isInherited = wasInherited(unit, state, record.slotCount, previous);
        acquisitions.set(unit, { token: state.token, at: isInherited ? clock.now() : undefined });
      }
    },
    inheritedAt: (unit) => acquisitions.get(unit)?.at,
  };
};
