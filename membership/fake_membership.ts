import type { MemberUpdate } from '../proto/mod.ts';
import type { Membership } from './membership.ts';

/** A membership whose list the holder replaces, for tests and measurements. */
export interface FakeMembership {
  readonly membership: Membership;
  /** Replaces the list and notifies the listeners. */
  readonly replace: (members: readonly MemberUpdate[]) => void;
}

/**
 * Creates a membership without gossip.
 *
 * @param first The members at the start.
 * @param self The node itself; by default the first member.
 * @returns The membership and the means to replace its list.
 *
 * @example
 * const { membership, replace } = createFakeMembership(members);
 */
export const createFakeMembership = (
  first: readonly MemberUpdate[],
  self: MemberUpdate = first[0]!,
): FakeMembership => {
  let members = first;
  const listeners = new Set<(changed: MemberUpdate) => void>();
  const findSelf = () => members.find(({ node }) => node === self.node) ?? self;
  return {
    membership: {
      self: findSelf,
      members: () => members,
      find: (node) => members.find((candidate) => candidate.node === node),
      updateInstances: () => undefined,
      onChange: (listener) => {
        listeners.add(listener);
        return () => listeners.delete(listener);
      },
      leave: async () => undefined,
      stop: async () => undefined,
    },
    replace: (next) => {
      members = next;
      for (const listener of listeners) listener(findSelf());
    },
  };
};
