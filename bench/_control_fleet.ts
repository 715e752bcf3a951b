import type { Clock } from '../clock/mod.ts';
import { createFakeNetwork, type FakeNetwork, type PeerTransport } from '../peer/mod.ts';
import { encodeRecord } from '../placement/mod.ts';
import { createMemoryStore, type MemoryStore, type Store } from '../store/mod.ts';
import {
  type ControlNode, createSlotOfKey, startControlNode,
} from './_control_node.ts';
import { createPlaces, createSyntheticRecord, type OwnerPlace } from './_synthetic_record.ts';

/** Keyed service of a control fleet. */
export const FLEET_SERVICE = 'ledger';

/** A fleet of control nodes over one store, all owners of one keyed service. */
export interface ControlFleet {
  readonly nodes: readonly ControlNode[];
  readonly store: MemoryStore;
  /** Absent when the nodes talk over gRPC. */
  readonly network: FakeNetwork | undefined;
  readonly stop: () => Promise<void>;
}

/** Options of a control fleet. */
export interface ControlFleetOptions {
  readonly nodes: number;
  readonly slotCount: number;
  readonly seed: number;
  /** Clock of a node; a pausable one lets a bench freeze it. */
  readonly clockOf?: (index: number) => Clock;
  /** The store as a node sees it; a gate lets a bench halt the node. */
  readonly storeOf?: (index: number, store: Store) => Store;
  /** Transport of a node and the address at which it listens; the fake network by default. */
  readonly listen?: (place: OwnerPlace) => Promise<Listening>;
}

/** A listening transport. */
export interface Listening {
  readonly transport: PeerTransport;
  readonly address: string;
}

const STORE_DELAY_MS = 2;
const SEEDS = 3;

/**
 * Starts a fleet whose placement record is in the store from the start. Joining one by one would
 * take longer than the measurement.
 */
export const startControlFleet = async (
  clock: Clock,
  options: ControlFleetOptions,
): Promise<ControlFleet> => {
  const store = createMemoryStore(clock);
  const network = options.listen === undefined ? createFakeNetwork(clock) : undefined;
  const listening: Listening[] = [];
  const places: OwnerPlace[] = [];
  for (const place of createPlaces(options.nodes)) {
    const { controlAddress: address } = place;
    const listened = await options.listen?.(place)
      ?? { transport: network!.connect(address, place), address };
    listening.push(listened);
    places.push({ ...place, controlAddress: listened.address });
  }
  const record = createSyntheticRecord(FLEET_SERVICE, places, {
    slotCount: options.slotCount, tokens: 1, seed: options.seed,
  });
  await store.compareAndSwap(`placement/${FLEET_SERVICE}`, 0, encodeRecord(record));
  store.setDelay(STORE_DELAY_MS);
  const slotOfKey = await createSlotOfKey();
  const seeds = places.slice(0, SEEDS).map(({ controlAddress }) => controlAddress);
  const nodes = places.map((place, index) => startControlNode({
    clock: options.clockOf?.(index) ?? clock,
    transport: listening[index]!.transport,
    store: options.storeOf?.(index, store) ?? store,
    place,
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

/** True when every node has joined and holds a valid lease. */
export const isSettled = ({ nodes }: ControlFleet): boolean => nodes.every((node) => (
  node.membership.members().length === nodes.length && node.holder().isValid()
));
