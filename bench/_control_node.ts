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
  callBudget, createGuardedStore, type GuardedStore, type Store,
} from '../store/mod.ts';
import { silentLogger } from '../telemetry/mod.ts';
import type { OwnerPlace } from './_synthetic_record.ts';

/** The control parts of a node, without listeners for requests. */
export interface ControlNode {
  readonly place: OwnerPlace;
  readonly clock: Clock;
  readonly store: GuardedStore;
  readonly membership: Membership;
  readonly relay: Relay;
  readonly placements: Placements;
  readonly contracts: Contracts;
  readonly ownership: NodeOwnership;
  /**
   * Starts the placement passes. A fleet that starts all at once with a record would replace the
   * witnesses that have not joined yet.
   */
  readonly startPlacer: () => Placer;
  readonly limits: CustomerLimits;
  readonly holder: () => LeaseHolder;
  readonly stop: () => Promise<void>;
}

/** What a control node is built from. */
export interface ControlNodeOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly store: Store;
  readonly place: OwnerPlace;
  readonly seeds: readonly string[];
  /** Keyed service that the node owns a part of; the record must list it already. */
  readonly service: string;
  readonly seed: number;
  readonly slotOfKey: SlotOfKey;
}

const MAX_RANDOM = 2 ** 30;
const MAX_SEED = 2 ** 31 - 1;
const SEED_FACTOR = 7_919;
const REJOIN_PAUSE_MS = 500;

export { createSlotOfKey };

/** Starts the control parts of a node with the code and the defaults that the daemon uses. */
export const startControlNode = (options: ControlNodeOptions): ControlNode => {
  const {
    clock, transport, place, slotOfKey, service,
  } = options;
  const logger = silentLogger;
  const random = xoroshiro128plus((options.seed * SEED_FACTOR) % MAX_SEED);
  const fraction = () => uniformInt(random, 0, MAX_RANDOM - 1) / MAX_RANDOM;
  let nodes = () => 1;
  const store = createGuardedStore(options.store, {
    clock, random: fraction, callsPerSecond: () => callBudget(nodes()),
  });
  const { node, incarnation } = place;
  const shared = { clock, transport, logger };
  const membership = createMembership({
    ...shared,
    store,
    seeds: options.seeds,
    random: fraction,
    self: { ...place, peerAddress: place.controlAddress, instances: [] },
  });
  nodes = () => membership.members().length;
  const relay = createRelay({
    ...shared, store, membership, random: fraction,
  });
  const placements = createPlacements({
    store, relay, clock, logger, random, createWriterId: randomUUID,
  });
  const contracts = createContracts({ store, relay, logger });
  const witness = createWitness({
    ...shared, placements, node, incarnation,
  });
  const takeover = createTakeover({
    ...shared, placements, witness, random,
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
      await clock.sleep(REJOIN_PAUSE_MS);
    }
  };

  const hold = (ownerId: string) => {
    holder = createLeaseHolder({
      ...shared,
      placements,
      service,
      ownerId,
      random,
      onRemoved: () => {
        holder?.stop();
        rejoin().then(() => {
          if (!stopped) hold(startPlacer().ownerIdOf(service));
        });
      },
    });
    ownership.attach(holder, { instance: `${service}-${node}` });
  };

  hold(`${node}#${incarnation}`);

  return {
    place,
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
