import { MemberUpdate } from '../proto/mod.ts';

/** Updates to disseminate, at most one per node, each sent a bounded number of times. */
export interface UpdateQueue {
  /** Adds an update, which replaces an older one of the same node. */
  readonly add: (update: MemberUpdate) => void;
  /**
   * Returns the updates with the fewest transmissions and counts one more for each. The limit of
   * transmissions grows with the logarithm of the number of members.
   */
  readonly take: (members: number) => readonly MemberUpdate[];
  readonly isEmpty: () => boolean;
}

interface Item {
  readonly update: MemberUpdate;
  readonly transmissions: number;
}

const MAX_UPDATES_PER_MESSAGE = 8;
// The probability that a node misses an update after t random pushes is e^-t. 12 transmissions at
// 510 members leave 0.003 nodes without the update, and anti-entropy repairs these.
const EXTRA_TRANSMISSIONS = 3;

/** Returns the size of an update on the wire in bytes. */
export const encodedSize = (update: MemberUpdate): number => (
  MemberUpdate.encode(update).finish().length
);

/** Creates an empty queue. */
export const createUpdateQueue = (): UpdateQueue => {
  const items = new Map<string, Item>();
  return {
    add: (update) => {
      items.delete(update.node);
      items.set(update.node, { update, transmissions: 0 });
    },
    take: (members) => {
      const limit = Math.ceil(Math.log2(members + 1)) + EXTRA_TRANSMISSIONS;
      const chosen = [...items.values()]
        .sort((left, right) => left.transmissions - right.transmissions)
        .slice(0, MAX_UPDATES_PER_MESSAGE);
      for (const { update, transmissions } of chosen) {
        if (transmissions + 1 >= limit) items.delete(update.node);
        else items.set(update.node, { update, transmissions: transmissions + 1 });
      }
      return chosen.map(({ update }) => update);
    },
    isEmpty: () => items.size === 0,
  };
};
