import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import {
  chooseWitnesses, createRecord, type Owner, type PlacementRecord, type SlotState,
} from '../placement/mod.ts';

/** Identity, locality and address of a synthetic node. */
export interface NodeDescriptor {
  readonly node: string;
  readonly incarnation: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly controlAddress: string;
}

const REGION_COUNT = 2;
const FAILURE_DOMAIN_COUNT = 5;

/**
 * Creates nodes in 2 regions and 5 failure domains, which is the topology at the fleet size planned
 * for two years ahead.
 */
export const createNodeDescriptors = (count: number): readonly NodeDescriptor[] => (
  Array.from({ length: count }, (_, index) => ({
    node: `host-${String(index).padStart(4, '0')}`,
    incarnation: `mq3x9k2a-${index.toString(16).padStart(8, '0')}`,
    region: `region-${(index % FAILURE_DOMAIN_COUNT) % REGION_COUNT}`,
    failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
    controlAddress: `10.0.${Math.floor(index / 250)}.${index % 250}:8370`,
  }))
);

const createOwner = (descriptor: NodeDescriptor, descriptors: readonly NodeDescriptor[]): Owner => {
  const id = `${descriptor.node}#${descriptor.incarnation}`;
  return {
    ...descriptor,
    id,
    instance: `ledger-${descriptor.node}`,
    peerAddress: descriptor.controlAddress.replace(/:8370$/u, ':8360'),
    weight: 6,
    witnesses: chooseWitnesses(descriptors, {
      id, node: descriptor.node, region: descriptor.region,
    }),
    previousWitnesses: [],
    state: 'active',
  };
};

/** Parameters of the slot table of a synthetic record. */
export interface RecordShape {
  readonly slotCount: number;
  /** Maximum number of different fencing tokens: 1 in a new fleet, many after many changes. */
  readonly tokens: number;
  readonly seed: number;
}

/** Creates a record that divides the slots evenly among the owners, in random order. */
export const createSyntheticRecord = (
  service: string,
  descriptors: readonly NodeDescriptor[],
  { slotCount, tokens, seed }: RecordShape,
): PlacementRecord => {
  const random = xoroshiro128plus(seed);
  const owners = descriptors.map((descriptor) => createOwner(descriptor, descriptors));
  const shuffledSlots = Array.from({ length: slotCount }, (_, slot) => slot);
  for (let last = slotCount - 1; last > 0; last -= 1) {
    const other = uniformInt(random, 0, last);
    [shuffledSlots[last], shuffledSlots[other]] = [shuffledSlots[other]!, shuffledSlots[last]!];
  }
  const statesByOwnerAndToken = new Map<string, SlotState>();
  const slots = new Array<SlotState>(slotCount);
  for (const [position, slot] of shuffledSlots.entries()) {
    const owner = owners[position % owners.length]!.id;
    const token = uniformInt(random, 1, tokens);
    const key = `${owner} ${token}`;
    const state = statesByOwnerAndToken.get(key) ?? {
      owner, token, predecessors: [], movingTo: undefined,
    };
    statesByOwnerAndToken.set(key, state);
    slots[slot] = state;
  }
  return {
    ...createRecord(service, slotCount), version: tokens + 1, owners, slots, writer: 'synthetic',
  };
};
