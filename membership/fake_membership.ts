import type { MemberUpdate } from '../proto/mod.ts';
import type { Membership } from './membership.ts';

/** A membership whose member list is set by the caller, for tests and benchmarks. */
export interface FakeMembership {
  readonly membership: Membership;
  /** Replaces the member list and notifies the listeners. */
  readonly replaceMembers: (members: readonly MemberUpdate[]) => void;
}

/**
 * Creates a fake membership without gossip.
 *
 * @param initial The initial members.
 * @param self This node; by default, the first member.
 * @returns The membership and a function that replaces its member list.
 *
 * @example
 * const { membership, replace } = createFakeMembership(members);
 */
export const createFakeMembership = (
  initial: readonly MemberUpdate[],
  self: MemberUpdate = initial[0]!,
): FakeMembership => {
  let members = initial;
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
    replaceMembers: (next) => {
      members = next;
      for (const listener of listeners) listener(findSelf());
    },
  };
};
