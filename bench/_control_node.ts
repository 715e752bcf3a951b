import { randomUUID } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createCustomerLimits, type CustomerLimits } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { type Contracts, createContracts } from '../daemon/mod.ts';
import {
  createLeaseHolder, createOwnership, createTakeover, createWitness, type LeaseHolder,
  type NodeOwnership,
} from '../lease/mod.ts';
import { createMembership, type Membership } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import {
  createPlacements, createPlacer, createSlotOfKey, type Placements, type Placer, type SlotOfKey,
} from '../placement/mod.ts';
import { createRelay, type Relay } from '../relay/mod.ts';
import {
  callsPerSecondPerNode, createGuardedStore, type GuardedStore, type Store,
} from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import type { NodeDescriptor } from './_synthetic_record.ts';

/** The control plane components of a node, without its request listeners. */
export interface ControlNode {
  readonly descriptor: NodeDescriptor;
  readonly clock: Clock;
  readonly store: GuardedStore;
  readonly membership: Membership;
  readonly relay: Relay;
  readonly placements: Placements;
  readonly contracts: Contracts;
  readonly ownership: NodeOwnership;
  /**
   * Starts the placer. Call it once all nodes have joined: in a fleet that starts all at once with
   * an existing record, the placer would replace witnesses that have not joined yet.
   */
  readonly startPlacer: () => Placer;
  readonly limits: CustomerLimits;
  readonly holder: () => LeaseHolder;
  readonly stop: () => Promise<void>;
}

/** Options of a control node. */
export interface ControlNodeOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly store: Store;
  readonly descriptor: NodeDescriptor;
  readonly seeds: readonly string[];
  /** Keyed service of which the node owns slots; its record must already list the node. */
  readonly service: string;
  readonly seed: number;
  readonly slotOfKey: SlotOfKey;
}

const RANDOM_RANGE = 2 ** 30;
const MAX_SEED = 2 ** 31 - 1;
const SEED_FACTOR = 7_919;
const REJOIN_DELAY_MS = 500;

export { createSlotOfKey };

/** Starts the control plane components of a node with the daemon's code and defaults. */
export const startControlNode = (options: ControlNodeOptions): ControlNode => {
  const {
    clock, transport, descriptor, slotOfKey, service,
  } = options;
  const logger = noopLogger;
  const random = xoroshiro128plus((options.seed * SEED_FACTOR) % MAX_SEED);
  const randomFraction = () => uniformInt(random, 0, RANDOM_RANGE - 1) / RANDOM_RANGE;
  let memberCount = () => 1;
  const store = createGuardedStore(options.store, {
    clock, random: randomFraction, callsPerSecond: () => callsPerSecondPerNode(memberCount()),
  });
  const { node, incarnation } = descriptor;
  const common = { clock, transport, logger };
  const membership = createMembership({
    ...common,
    store,
    seeds: options.seeds,
    random: randomFraction,
    self: { ...descriptor, peerAddress: descriptor.controlAddress, instances: [] },
  });
  memberCount = () => membership.members().length;
  const relay = createRelay({
    ...common, store, membership, random: randomFraction,
  });
  const placements = createPlacements({
    store, relay, clock, logger, random, createWriterId: randomUUID,
  });
  const contracts = createContracts({ store, relay, logger });
  const witness = createWitness({
    ...common, placements, node, incarnation,
  });
  const takeover = createTakeover({
    ...common, placements, witness, random,
  });
  const ownership = createOwnership({
    clock, placements, takeover, slotOfKey, random,
  });
  let placer: Placer | undefined;
  const startPlacer = () => {
    placer ??= createPlacer({
      clock, logger, placements, membership, random, slotOfKey,
    });
    return placer;
  };
  const limits = createCustomerLimits({
    clock,
    membership,
    transport,
    findContract: (customer) => contracts.find(customer)?.contract,
  });

  let holder: LeaseHolder | undefined;
  let stopped = false;

  const rejoin = async () => {
    while (!stopped) {
      const slotCount = placements.current(service)?.slotCount;
      const definition = {
        name: service, keyed: true, slotCount, checksGrants: false, refusalStatuses: [],
      };
      const instance = { instance: `${service}-${node}`, weight: 6 };
      const joined = await startPlacer().join(definition, instance);
      if (joined.isOk()) return;
      await clock.sleep(REJOIN_DELAY_MS);
    }
  };

  const startLeaseHolder = (ownerId: string) => {
    holder = createLeaseHolder({
      ...common,
      placements,
      service,
      ownerId,
      random,
      onRemoved: () => {
        holder?.stop();
        rejoin().then(() => {
          if (!stopped) startLeaseHolder(startPlacer().ownerIdOf(service));
        });
      },
    });
    ownership.attach(holder, { instance: `${service}-${node}` });
  };

  startLeaseHolder(`${node}#${incarnation}`);

  return {
    descriptor,
    clock,
    store,
    membership,
    relay,
    placements,
    contracts,
    ownership,
    startPlacer,
    limits,
    holder: () => holder as LeaseHolder,
    stop: async () => {
      stopped = true;
      holder?.stop();
      limits.stop();
      placer?.stop();
      ownership.stop();
      takeover.stop();
      witness.stop();
      contracts.stop();
      placements.stop();
      await relay.stop();
      await membership.stop();
      await transport.close();
    },
  };
};
