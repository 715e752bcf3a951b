import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Membership } from '../membership/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';

/** Uniform numbers from 0 to less than 1 from a fixed seed. */
export const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

const member = (node: string): MemberUpdate => ({
  node,
  incarnation: '1',
  counter: 0,
  state: MemberState.MEMBER_STATE_ALIVE,
  region: 'r',
  failureDomain: 'd',
  controlAddress: node,
  peerAddress: node,
  instances: [],
});

/** A membership whose list a test replaces. */
export const createFakeMembership = (self: string, nodes: readonly string[]) => {
  let members = nodes.map(member);
  const listeners = new Set<(changed: MemberUpdate) => void>();
  const membership: Membership = {
    self: () => member(self),
    members: () => members,
    find: (node) => members.find((candidate) => candidate.node === node),
    updateInstances: () => undefined,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    leave: async () => undefined,
    stop: async () => undefined,
  };
  const replace = (next: readonly string[]) => {
    members = next.map(member);
    for (const listener of listeners) listener(member(self));
  };
  return { membership, replace };
};
