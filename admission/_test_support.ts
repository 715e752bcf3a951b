import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';

/** Uniform numbers from 0 to less than 1 from a fixed seed. */
export const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** Describes one member. */
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
