import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  type InstanceInfo, InstanceState, MemberState, type MemberUpdate,
} from '../proto/mod.ts';
import type { InstanceView } from './mod.ts';

/** Returns a seeded source of uniformly distributed numbers in [0, 1). */
export const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** Builds the announcement of one instance of service `s`. */
export const instance = (name: string, change: Partial<InstanceInfo> = {}): InstanceInfo => ({
  instance: name,
  service: 's',
  slots: 6,
  connections: 100,
  weight: 1,
  state: InstanceState.INSTANCE_STATE_READY,
  ...change,
});

/** Builds the view of an idle instance that stands for its failure domain. */
export const domainView = (failureDomain: string, isOwn: boolean): InstanceView => ({
  instance: `i-${failureDomain}`,
  distance: isOwn ? 0 : 1,
  failureDomain,
  load: 0,
  slots: 100,
  serviceRate: 400,
  trafficShare: 1,
  ejected: false,
});

/** Builds the membership entry of one alive node. */
export const member = (
  node: string,
  instances: readonly InstanceInfo[] = [],
  failureDomain = 'd',
): MemberUpdate => ({
  node,
  incarnation: '1',
  counter: 0,
  state: MemberState.MEMBER_STATE_ALIVE,
  region: 'r',
  failureDomain,
  controlAddress: `${node}:1`,
  peerAddress: `${node}:2`,
  instances,
});
