import type { FleetView, NodeEntry } from '../directory/mod.ts';
import type { LoadPicture, Owner, RangeAssignment } from '../ranges/mod.ts';

type Entries = ReadonlyMap<string, NodeEntry>;

/** Tells whether an owner can take keys. */
export const isLiveOwner = (entries: Entries, owner: Owner): boolean => {
  const { instance } = entries.get(owner.node) ?? {};
  return instance?.state === 'ready' && instance.instance === owner.instance
    && instance.startedAt === owner.startedAt;
};

/**
 * Tells whether a later node has the address of a node whose entry is missing. The address of a
 * host is used again only after the host and its instance have ended.
 */
export const isReplaced = (
  fleet: Pick<FleetView, 'present' | 'find'>,
  node: string,
): boolean => {
  const former = fleet.find(node);
  if (former === undefined || fleet.present().has(node)) return false;
  for (const entry of fleet.present().values()) {
    if (entry.peerAddress === former.peerAddress && entry.startedAt > former.startedAt) return true;
  }
  return false;
};

/** Instances of a service that can take keys, in an order that all nodes share. */
export const listOwners = (entries: Entries, service: string): readonly Owner[] => {
  const owners: Owner[] = [];
  for (const { node, instance, isStopping } of entries.values()) {
    if (instance?.service !== service || instance.state !== 'ready' || isStopping) continue;
    owners.push({ node, instance: instance.instance, startedAt: instance.startedAt });
  }
  return owners.sort((left, right) => (left.node < right.node ? -1 : 1));
};

/** Place of a node in that order; the first one plans moves. */
export const rankOf = (owners: readonly Owner[], node: string): number => {
  const index = owners.findIndex((owner) => owner.node === node);
  return index < 0 ? owners.length : index;
};

/** Fields of the log line for planned moves: the inputs that decided them. */
export const describePlan = (
  service: string,
  moves: readonly RangeAssignment[],
  { candidates, cells }: LoadPicture,
) => ({
  service,
  moves: moves.map(({ from, to, owner }) => [from, to, owner.node]),
  capacities: candidates.map(({ owner, capacity }) => [owner.node, Math.round(capacity)]),
  measured: Math.round(cells.reduce((sum, { rate }) => sum + rate, 0)),
});
