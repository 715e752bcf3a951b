import type { Clock } from '../clock/mod.ts';
import type { Membership } from '../membership/mod.ts';
import {
  type InstanceInfo, InstanceState, MemberState, type MemberUpdate,
} from '../proto/mod.ts';
import type { FleetView } from './fleet_view.ts';
import type { NodeEntry } from './node_entry.ts';

/** Options of the list. */
export interface FleetMembershipOptions {
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly self: () => NodeEntry;
  /** The node with this peer address did not answer a short time ago. */
  readonly isSuspect: (peerAddress: string) => boolean;
}

const instancesOf = (entry: NodeEntry, now: number): readonly InstanceInfo[] => {
  const { instance } = entry;
  if (instance === undefined || instance.state === 'down') return [];
  const isLeaving = entry.isStopping || instance.state === 'draining';
  const warm = now < instance.coldUntil
    ? InstanceState.INSTANCE_STATE_COLD
    : InstanceState.INSTANCE_STATE_READY;
  return [{
    instance: instance.instance,
    service: instance.service,
    slots: instance.slots,
    connections: 0,
    weight: 1,
    state: isLeaving ? InstanceState.INSTANCE_STATE_DRAINING : warm,
  }];
};

/**
 * Lists the members of the fleet for the choice of an instance, from the entries in the store.
 *
 * @param options Clock, fleet, own entry and suspicion.
 * @returns The list.
 *
 * @example
 * const view = createServiceView('ledger', { clock, membership: createFleetMembership(options) });
 */
export const createFleetMembership = (
  options: FleetMembershipOptions,
): Pick<Membership, 'self' | 'members'> => {
  const { clock, fleet } = options;

  const toMember = (entry: NodeEntry): MemberUpdate => ({
    node: entry.node,
    incarnation: String(entry.startedAt),
    counter: 0,
    state: options.isSuspect(entry.peerAddress)
      ? MemberState.MEMBER_STATE_SUSPECT
      : MemberState.MEMBER_STATE_ALIVE,
    region: entry.region,
    failureDomain: entry.failureDomain,
    controlAddress: entry.peerAddress,
    peerAddress: entry.peerAddress,
    instances: instancesOf(entry, clock.wallTime()),
  });

  return {
    self: () => toMember(options.self()),
    members: () => {
      const own = options.self();
      // The own entry may not have reached the store yet.
      const others = fleet.usable().filter(({ node }) => node !== own.node);
      return [own, ...others].map(toMember);
    },
  };
};
