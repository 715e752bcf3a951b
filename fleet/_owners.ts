import type { FleetView, NodeEntry } from '../directory/mod.ts';
import type { LoadSnapshot, Owner, RangeAssignment } from '../ranges/mod.ts';

type Entries = ReadonlyMap<string, NodeEntry>;

type IsEvacuated = (failureDomain: string) => boolean;

/**
 * Reports whether an owner can take keys: its node's entry lists the same process as ready, in a
 * failure domain that is not evacuated.
 */
export const isLiveOwner = (entries: Entries, owner: Owner, isEvacuated: IsEvacuated): boolean => {
  const { instance, failureDomain = '' } = entries.get(owner.node) ?? {};
  return instance?.state === 'ready' && instance.instance === owner.instance
    && instance.startedAt === owner.startedAt && !isEvacuated(failureDomain);
};

/**
 * Reports whether the address of a node whose entry is missing is used by a node that started
 * later. This proves that the node is lost, since the address of a host is reused only after the
 * host and its instance have ended. An entry of another writer proves nothing: it has no instance,
 * or one of a service that the contract does not name.
 */
export const isReplaced = (
  fleet: Pick<FleetView, 'present' | 'find'>,
  node: string,
  namesService: (service: string) => boolean,
): boolean => {
  const former = fleet.find(node);
  if (former === undefined || fleet.present().has(node)) return false;
  for (const { peerAddress, startedAt, instance } of fleet.present().values()) {
    const isLater = peerAddress === former.peerAddress && startedAt > former.startedAt;
    if (isLater && instance !== undefined && namesService(instance.service)) return true;
  }
  return false;
};

/** Lists the instances of a service that can take keys, sorted by node name on every node. */
export const listOwners = (
  entries: Entries,
  service: string,
  isEvacuated: IsEvacuated,
): readonly Owner[] => {
  const owners: Owner[] = [];
  for (const {
    node, failureDomain, instance, isStopping,
  } of entries.values()) {
    if (instance?.service !== service || instance.state !== 'ready' || isStopping) continue;
    if (isEvacuated(failureDomain)) continue;
    owners.push({ node, instance: instance.instance, startedAt: instance.startedAt });
  }
  return owners.sort((left, right) => (left.node < right.node ? -1 : 1));
};

/** Returns the index of a node in that list, or its length if the node is not in it. */
export const rankOf = (owners: readonly Owner[], node: string): number => {
  const index = owners.findIndex((owner) => owner.node === node);
  return index < 0 ? owners.length : index;
};

/** Returns the log fields for planned moves: the moves and the inputs to the decision. */
export const planLogFields = (
  service: string,
  moves: readonly RangeAssignment[],
  { candidates, cells }: LoadSnapshot,
) => ({
  service,
  moves: moves.map(({ from, to, owner }) => [from, to, owner.node]),
  capacities: candidates.map(({ owner, capacity }) => [owner.node, Math.round(capacity)]),
  measured: Math.round(cells.reduce((sum, { rate }) => sum + rate, 0)),
});
