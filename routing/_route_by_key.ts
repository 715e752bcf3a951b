import type { Owner, PlacementRecord, SlotState } from '../placement/mod.ts';
import type { RoutingDecision, RoutingRequest } from './router.ts';

/** Maps a key to its slot, an integer in [0, `slotCount`). */
export type SlotForKey = (key: string, slotCount: number) => number;

interface RecordIndex {
  readonly hotKeys: ReadonlyMap<string, SlotState>;
  readonly owners: ReadonlyMap<string, Owner>;
}

const indexByRecord = new WeakMap<PlacementRecord, RecordIndex>();

const indexOf = (record: PlacementRecord): RecordIndex => {
  const known = indexByRecord.get(record);
  if (known !== undefined) return known;
  const index = {
    hotKeys: new Map(record.hotKeys.map(({ key, state }) => [key, state])),
    owners: new Map(record.owners.map((owner) => [owner.id, owner])),
  };
  indexByRecord.set(record, index);
  return index;
};

/**
 * Routes a keyed request by the placement record alone, without regard to load.
 *
 * @param request The request, with its key.
 * @param record Latest placement record of the service; `undefined` before one is known.
 * @param node Name of this node.
 * @param slotOf Maps a key to its slot.
 * @returns The owner of the key, or why the request has to wait or cannot be served.
 */
export const routeByKey = (
  request: RoutingRequest,
  record: PlacementRecord | undefined,
  node: string,
  slotOf: SlotForKey,
): RoutingDecision => {
  if (record === undefined) return { kind: 'none', reason: 'no placement record', version: 0 };
  const { version } = record;
  const key = request.key ?? '';
  const { hotKeys, owners } = indexOf(record);
  const hotKeyState = hotKeys.get(key);
  const state = hotKeyState ?? record.slots[slotOf(key, record.slotCount)];
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
    reason: hotKeyState === undefined ? 'owner of the slot' : 'owner of the hot key',
    version,
  };
};
