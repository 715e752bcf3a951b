import type { Clock } from '../clock/mod.ts';
import { createFakeNetwork, type FakeNetwork, type PeerTransport } from '../peer/mod.ts';
import { encodeRecord } from '../placement/mod.ts';
import { createMemoryStore, type MemoryStore, type Store } from '../store/mod.ts';
import {
  type ControlNode, createSlotOfKey, startControlNode,
} from './_control_node.ts';
import {
  createNodeDescriptors, createSyntheticRecord, type NodeDescriptor,
} from './_synthetic_record.ts';

/** Name of the keyed service of a control fleet. */
export const FLEET_SERVICE = 'ledger';

/** Control nodes that share one store and all own slots of one keyed service. */
export interface ControlFleet {
  readonly nodes: readonly ControlNode[];
  readonly store: MemoryStore;
  /** `undefined` if the nodes use the transports of `startTransport`. */
  readonly network: FakeNetwork | undefined;
  readonly stop: () => Promise<void>;
}

/** Options of a control fleet. */
export interface ControlFleetOptions {
  readonly nodes: number;
  readonly slotCount: number;
  readonly seed: number;
  /** Returns the clock of a node; a pausable clock lets a benchmark freeze the node. */
  readonly clockOf?: (index: number) => Clock;
  /** Returns the store client of a node; a pausable store lets a benchmark freeze the node. */
  readonly storeOf?: (index: number, store: Store) => Store;
  /** Starts the transport of a node; by default nodes use the fake network. */
  readonly startTransport?: (descriptor: NodeDescriptor) => Promise<ListeningTransport>;
}

/** A transport and the address on which it listens. */
export interface ListeningTransport {
  readonly transport: PeerTransport;
  readonly address: string;
}

const STORE_DELAY_MS = 2;
const SEED_NODE_COUNT = 3;

/**
 * Starts a fleet with its placement record already in the store, because joining the nodes one by
 * one would take longer than the measurement.
 */
export const startControlFleet = async (
  clock: Clock,
  options: ControlFleetOptions,
): Promise<ControlFleet> => {
  const store = createMemoryStore(clock);
  const network = options.startTransport === undefined ? createFakeNetwork(clock) : undefined;
  const transports: ListeningTransport[] = [];
  const descriptors: NodeDescriptor[] = [];
  for (const descriptor of createNodeDescriptors(options.nodes)) {
    const { controlAddress: address } = descriptor;
    const listening = await options.startTransport?.(descriptor)
      ?? { transport: network!.connect(address, descriptor), address };
    transports.push(listening);
    descriptors.push({ ...descriptor, controlAddress: listening.address });
  }
  const record = createSyntheticRecord(FLEET_SERVICE, descriptors, {
    slotCount: options.slotCount, tokens: 1, seed: options.seed,
  });
  await store.compareAndSwap(`placement/${FLEET_SERVICE}`, 0, encodeRecord(record));
  store.setDelay(STORE_DELAY_MS);
  const slotOfKey = await createSlotOfKey();
  const seeds = descriptors.slice(0, SEED_NODE_COUNT).map(({ controlAddress }) => controlAddress);
  const nodes = descriptors.map((descriptor, index) => startControlNode({
    clock: options.clockOf?.(index) ?? clock,
    transport: transports[index]!.transport,
    store: options.storeOf?.(index, store) ?? store,
    descriptor,
    seeds,
    service: FLEET_SERVICE,
    seed: options.seed + index,
    slotOfKey,
  }));
  return {
    nodes,
    store,
    network,
    stop: async () => {
      await Promise.all(nodes.map((node) => node.stop()));
    },
  };
};

/** Reports whether every node knows all members and holds a valid lease. */
export const isFleetReady = ({ nodes }: ControlFleet): boolean => nodes.every((node) => (
  node.membership.members().length === nodes.length && node.holder().isValid()
));
