import type { Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import {
  type InstanceInfo, InstanceState, MemberState, type MemberUpdate,
} from '../proto/mod.ts';
import type { FleetView } from './fleet_view.ts';
import type { NodeEntry } from './node_entry.ts';

/** Options for `createFleetMembership`. */
export interface FleetMembershipOptions {
  readonly clock: Clock;
  readonly fleet: FleetView;
  /** Returns the entry of this node. */
  readonly self: () => NodeEntry;
  /** Returns whether the node at this peer address recently failed to answer. */
  readonly isSuspect: (peerAddress: string) => boolean;
  /** Returns whether no request may be sent to the instances of a failure domain. */
  readonly isEvacuated?: (failureDomain: string) => boolean;
}

const instancesOf = (
  { instance }: NodeEntry,
  now: number,
  isNodeClosed: boolean,
): readonly InstanceInfo[] => {
  if (instance === undefined || instance.state === 'down') return [];
  const isDraining = isNodeClosed || instance.state === 'draining';
  const activeState = now < instance.coldUntil
    ? InstanceState.INSTANCE_STATE_COLD
    : InstanceState.INSTANCE_STATE_READY;
  return [{
    instance: instance.instance,
    service: instance.service,
    slots: instance.slots,
    connections: 0,
    weight: 1,
    state: isDraining ? InstanceState.INSTANCE_STATE_DRAINING : activeState,
  }];
};

/**
 * Creates a read-only membership for load balancing, derived from the node entries in the store.
 *
 * @param options The clock, the fleet view, this node's entry and the failure detector.
 * @returns The `self` and `members` functions of a membership.
 *
 * @example
 * const view = createServiceView('ledger', { clock, membership: createFleetMembership(options) });
 */
export const createFleetMembership = (
  options: FleetMembershipOptions,
): Pick<Membership, 'self' | 'members'> => {
  const { clock, fleet } = options;

  const toMember = (entry: NodeEntry): MemberUpdate => {
    const isSuspect = options.isSuspect(entry.peerAddress);
    return {
      node: entry.node,
      incarnation: String(entry.startedAt),
      counter: 0,
      state: isSuspect ? MemberState.MEMBER_STATE_SUSPECT : MemberState.MEMBER_STATE_ALIVE,
      region: entry.region,
      failureDomain: entry.failureDomain,
      controlAddress: entry.peerAddress,
      peerAddress: entry.peerAddress,
      instances: options.isEvacuated?.(entry.failureDomain) === true
        ? []
        // A stopping node is suspected once it refuses a request, and accepts none from then on.
        : instancesOf(entry, clock.wallTime(), entry.isStopping && isSuspect),
    };
  };

  return {
    self: () => toMember(options.self()),
    members: () => {
      const own = options.self();
      // The entry of this node may not have reached the store yet, so it is added from memory.
      const others = fleet.usable().filter(({ node }) => node !== own.node);
      return [own, ...others].map(toMember);
    },
  };
};
