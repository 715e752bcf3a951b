import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';

/** Returns a seeded source of uniformly distributed numbers in [0, 1). */
export const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** Builds the membership entry of one alive node. */
export const member = (node: string): MemberUpdate => ({
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
