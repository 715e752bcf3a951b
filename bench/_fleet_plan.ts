import type { Clock } from '../clock/mod.ts';
import type { Contract, ServiceDefinition } from '../contract/mod.ts';
import { createFakeMembership, type Membership } from '../membership/mod.ts';
import {
  type InstanceInfo, InstanceState, MemberState, type MemberUpdate,
} from '../proto/mod.ts';
import type { FakeInstance, InstanceProfile } from './_fake_instance.ts';
import type { RequestResult } from './_load_generator.ts';

/** A customer with its share and its limits for the whole fleet. */
export interface CustomerPlan {
  readonly customer: string;
  readonly share: number;
  readonly requestsPerSecond: number;
  readonly concurrency: number;
}

/** A simulated fleet: node n is the sidecar of instance n; further nodes have no instance. */
export interface FleetPlan {
  readonly nodeCount: number;
  readonly instances: readonly InstanceProfile[];
  readonly customers: readonly CustomerPlan[];
  /** Start of the period in which the utilization of the instances is measured. */
  readonly measureFromMs: number;
  /** End of that period. */
  readonly measureToMs: number;
}

/** Results of a simulated run. */
export interface FleetRun {
  readonly results: readonly RequestResult[];
  /** Worker time used within the measured period, in the order of `FleetPlan.instances`. */
  readonly busyMs: readonly number[];
  /** Returns how often the instances started a request, by request id. */
  readonly executions: (id: number) => number;
}

/** One-way delay between nodes. */
export const HOP_DELAY_MS = 0.5;
/** Time after the last arrival within which all requests in flight end. */
export const DRAIN_MS = 120_000;

const FAILURE_DOMAIN_COUNT = 3;
const CONNECTIONS = 130;

/** The unkeyed service of the simulations; status 503 means that a request was not run. */
export const service: ServiceDefinition = {
  name: 's', keyed: false, checksGrants: false, refusalStatuses: [503],
};

/** Returns the name of a node. */
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
    const ownInstance = instances[index];
    const isStarted = ownInstance !== undefined && (ownInstance.startsAtMs ?? 0) <= now;
    return {
      node: nodeName(index),
      incarnation: '1',
      counter: 0,
      state: MemberState.MEMBER_STATE_ALIVE,
      region: 'r',
      failureDomain: `d${index % FAILURE_DOMAIN_COUNT}`,
      controlAddress: nodeName(index),
      peerAddress: nodeName(index),
      instances: isStarted ? [describeInstance(ownInstance)] : [],
    };
  })
);

/** Creates a fake membership that lists each instance from its planned start time on. */
export const createPlannedMembership = (
  plan: FleetPlan,
  clock: Clock,
  self: number,
): Membership => {
  const initialMembers = listMembers(plan, 0);
  const { membership, replaceMembers } = createFakeMembership(
    initialMembers,
    initialMembers[self],
  );
  const refresh = () => replaceMembers(listMembers(plan, clock.now()));
  for (const { startsAtMs = 0 } of plan.instances) {
    if (startsAtMs > 0) clock.schedule(startsAtMs, refresh);
  }
  return membership;
};

/** Builds the contracts of the customers, by customer. */
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

/**
 * Schedules the measurement of worker time within the planned period.
 *
 * @returns A function that returns the worker time of each instance in ms, once the period is over.
 */
export const measureBusyTime = (
  clock: Clock,
  plan: FleetPlan,
  instances: readonly FakeInstance[],
): (() => readonly number[]) => {
  let busyMs: readonly number[] = [];
  const takeReading = () => {
    busyMs = instances.map((instance) => instance.readAndResetBusyMs());
  };
  clock.schedule(plan.measureFromMs, takeReading);
  clock.schedule(plan.measureToMs, takeReading);
  return () => busyMs;
};

/** Returns a function that counts how often the instances started a request. */
export const countExecutions = (instances: readonly FakeInstance[]) => (id: number) => (
  instances.reduce((sum, { executions }) => sum + (executions.get(id) ?? 0), 0)
);
