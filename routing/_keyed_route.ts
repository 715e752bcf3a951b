import type { Owner, PlacementRecord, SlotState } from '../placement/mod.ts';
import type { RoutingDecision, RoutingRequest } from './router.ts';

/** Slot of a key: a number from 0 to less than `slotCount`. */
export type SlotOf = (key: string, slotCount: number) => number;

interface RecordIndex {
  readonly hotKeys: ReadonlyMap<string, SlotState>;
  readonly owners: ReadonlyMap<string, Owner>;
}

const indexes = new WeakMap<PlacementRecord, RecordIndex>();

const indexOf = (record: PlacementRecord): RecordIndex => {
  const known = indexes.get(record);
  if (known !== undefined) return known;
  const index = {
    hotKeys: new Map(record.hotKeys.map(({ key, state }) => [key, state])),
    owners: new Map(record.owners.map((owner) => [owner.id, owner])),
  };
  indexes.set(record, index);
  return index;
};

/** Decides where a request for a key goes, from the placement record alone. */
export const routeByKey = (
  request: RoutingRequest,
  record: PlacementRecord | undefined,
  node: string,
  slotOf: SlotOf,
): RoutingDecision => {
  if (record === undefined) return { kind: 'none', reason: 'no placement record', version: 0 };
  const { version } = record;
  const key = request.key ?? '';
  const { hotKeys, owners } = indexOf(record);
  const hotState = hotKeys.get(key);
  const state = hotState ?? record.slots[slotOf(key, record.slotCount)];
  const owner = state?.owner === undefined ? undefined : owners.get(state.owner);
  if (state === undefined || owner === undefined) {
    return { kind: 'none', reason: 'the slot has no owner', version };
  }
  if (state.movingTo !== undefined) {
    return { kind: 'wait', reason: 'the slot is being moved', version };
  }
  if (owner.state === 'removed') {
    return { kind: 'wait', reason: 'the owner was removed', version };
  }
  if (request.excluded.has(owner.instance)) {
    return { kind: 'none', reason: 'the owner has been tried', version };
  }
  return {
    kind: owner.node === node ? 'local' : 'peer',
    instance: owner.instance,
    node: owner.node,
    peerAddress: owner.peerAddress,
    reason: hotState === undefined ? 'owner of the slot' : 'owner of the hot key',
    version,
  };
};
