import type { Membership } from '../membership/mod.ts';
import {
  type InstanceInfo, InstanceState, MemberState, type MemberUpdate,
} from '../proto/mod.ts';
import { chooseSubset, type SubsetOptions } from './choose_subset.ts';

/** What the instances that a node considers for a service depend on. */
export interface CandidateOptions {
  readonly membership: Pick<Membership, 'self' | 'members'>;
  readonly subset?: SubsetOptions;
  /**
   * Returns whether a node is about to stop, but still accepts requests; by default, no node is.
   * Its instances are used only when no instance is on another alive node.
   */
  readonly isLeaving?: (node: string) => boolean;
}

/** An instance with its node. */
export interface Candidate {
  readonly instance: string;
  readonly member: MemberUpdate;
  readonly info: InstanceInfo;
  readonly isSameDomain: boolean;
  /** 0: same failure domain, 1: same region, 2: another region. */
  readonly distance: number;
}

const distanceBetween = (member: MemberUpdate, self: MemberUpdate) => {
  if (member.region !== self.region) return 2;
  return member.failureDomain === self.failureDomain ? 0 : 1;
};

/** Lists the instances of a service that this node considers. */
export const listCandidates = (
  service: string,
  { membership, subset, isLeaving = () => false }: CandidateOptions,
): readonly Candidate[] => {
  const self = membership.self();
  const alive: Candidate[] = [];
  const leaving: Candidate[] = [];
  const suspected: Candidate[] = [];
  const listOf = ({ node, state }: MemberUpdate) => {
    if (state !== MemberState.MEMBER_STATE_ALIVE) return suspected;
    return isLeaving(node) ? leaving : alive;
  };
  for (const member of membership.members()) {
    for (const info of member.instances) {
      if (info.service !== service || info.state === InstanceState.INSTANCE_STATE_DRAINING) {
        continue;
      }
      const distance = distanceBetween(member, self);
      listOf(member).push({
        instance: info.instance, member, info, distance, isSameDomain: distance === 0,
      });
    }
  }
  // Instances of suspected nodes are used only when no instance is on an alive node.
  const preferred = [alive, leaving, suspected].find(({ length }) => length > 0) ?? [];
  return chooseSubset(self.node, preferred, subset);
};
