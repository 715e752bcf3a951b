import type { Clock } from '../clock/mod.ts';
import type { Contract, ServiceDefinition } from '../contract/mod.ts';
import { createFakeMembership, type Membership } from '../membership/mod.ts';
import {
  type InstanceInfo, InstanceState, MemberState, type MemberUpdate,
} from '../proto/mod.ts';
import type { FakeInstance, InstanceProfile } from './_fake_instance.ts';
import type { Answer } from './_load_arrivals.ts';

/** A customer with its share and its limits over the fleet. */
export interface CustomerPlan {
  readonly customer: string;
  readonly share: number;
  readonly requestsPerSecond: number;
  readonly concurrency: number;
}

/** A fleet in one process: node n stands beside instance n, if there are as many. */
export interface FleetPlan {
  readonly nodeCount: number;
  readonly instances: readonly InstanceProfile[];
  readonly customers: readonly CustomerPlan[];
  /** Period over which the use of the instances is measured. */
  readonly measureFromMs: number;
  readonly measureToMs: number;
}

/** What a run of a fleet produced. */
export interface FleetRun {
  readonly answers: readonly Answer[];
  /** Worker time used within the measured period, in the order of the instances. */
  readonly busyMs: readonly number[];
  /** How often a request was started, over all instances. */
  readonly executions: (id: number) => number;
}

/** One-way delay between nodes. */
export const HOP_MS = 0.5;
/** Time after the last arrival in which everything in flight ends. */
export const DRAIN_MS = 120_000;

const DOMAIN_COUNT = 3;
const CONNECTIONS = 130;

/** The unkeyed service of the measurements; its upstreams' sheds are trusted as `not run`. */
export const service: ServiceDefinition = {
  name: 's', keyed: false, checksGrants: false, refusalStatuses: [503],
};

/** Name of a node. */
export const nodeName = (index: number) => `n${index}`;

const describeInstance = (profile: InstanceProfile): InstanceInfo => ({
  instance: profile.name,
  service: service.name,
  slots: profile.announcedSlots ?? profile.slots,
  connections: CONNECTIONS,
  weight: 1,
  state: InstanceState.INSTANCE_STATE_READY,
});

const listMembers = ({ nodeCount, instances }: FleetPlan, now: number) => (
  Array.from({ length: nodeCount }, (_, index): MemberUpdate => {
    const own = instances[index];
    const isStarted = own !== undefined && (own.startsAtMs ?? 0) <= now;
    return {
      node: nodeName(index),
      incarnation: '1',
      counter: 0,
      state: MemberState.MEMBER_STATE_ALIVE,
      region: 'r',
      failureDomain: `d${index % DOMAIN_COUNT}`,
      controlAddress: nodeName(index),
      peerAddress: nodeName(index),
      instances: isStarted ? [describeInstance(own)] : [],
    };
  })
);

/** Creates a membership that knows each instance from its start. */
export const createPlannedMembership = (
  plan: FleetPlan,
  clock: Clock,
  self: number,
): Membership => {
  const first = listMembers(plan, 0);
  const { membership, replace } = createFakeMembership(first, first[self]);
  const refresh = () => replace(listMembers(plan, clock.now()));
  for (const { startsAtMs = 0 } of plan.instances) {
    if (startsAtMs > 0) clock.schedule(startsAtMs, refresh);
  }
  return membership;
};

/** Builds the contracts of the customers. */
export const buildContracts = (customers: readonly CustomerPlan[]) => new Map(
  customers.map(({
    customer, share, requestsPerSecond, concurrency,
  }): [string, Contract] => [customer, {
    customer,
    share,
    limits: { requestsPerSecond, concurrency },
    tokenHashes: ['0'.repeat(64)],
    services: [service],
    routes: [],
  }]),
);

/** Measures the worker time that the instances use within the planned period. */
export const measureBusy = (
  clock: Clock,
  plan: FleetPlan,
  instances: readonly FakeInstance[],
): (() => readonly number[]) => {
  let busyMs: readonly number[] = [];
  const read = () => {
    busyMs = instances.map((instance) => instance.takeBusyMs());
  };
  clock.schedule(plan.measureFromMs, read);
  clock.schedule(plan.measureToMs, read);
  return () => busyMs;
};

/** Counts how often a request was started, over all instances. */
export const countExecutions = (instances: readonly FakeInstance[]) => (id: number) => (
  instances.reduce((sum, { executions }) => sum + (executions.get(id) ?? 0), 0)
);
