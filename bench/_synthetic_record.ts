import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import {
  chooseWitnesses, createRecord, type Owner, type PlacementRecord, type SlotState,
} from '../placement/mod.ts';

/** Where a synthetic owner stands. */
export interface OwnerPlace {
  readonly node: string;
  readonly incarnation: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly controlAddress: string;
}

const REGIONS = 2;
const DOMAINS = 5;

/** Places of a fleet over 2 regions and 5 failure domains, as at the two-year size. */
export const createPlaces = (count: number): readonly OwnerPlace[] => (
  Array.from({ length: count }, (_, index) => ({
    node: `host-${String(index).padStart(4, '0')}`,
    incarnation: `mq3x9k2a-${index.toString(16).padStart(8, '0')}`,
    region: `region-${(index % DOMAINS) % REGIONS}`,
    failureDomain: `domain-${index % DOMAINS}`,
    controlAddress: `10.0.${Math.floor(index / 250)}.${index % 250}:8370`,
  }))
);

const createOwner = (place: OwnerPlace, places: readonly OwnerPlace[]): Owner => {
  const id = `${place.node}#${place.incarnation}`;
  return {
    ...place,
    id,
    instance: `ledger-${place.node}`,
    peerAddress: place.controlAddress.replace(/:8370$/u, ':8360'),
    weight: 6,
    witnesses: chooseWitnesses(places, { id, node: place.node, region: place.region }),
    previousWitnesses: [],
    state: 'active',
  };
};

/** Shape of the slot table of a synthetic record. */
export interface RecordShape {
  readonly slotCount: number;
  /** Most different fencing tokens: 1 is a new fleet, many is a fleet after many changes. */
  readonly tokens: number;
  readonly seed: number;
}

/** Creates a record in which every owner has its share of slots at random positions. */
export const createSyntheticRecord = (
  service: string,
  places: readonly OwnerPlace[],
  { slotCount, tokens, seed }: RecordShape,
): PlacementRecord => {
  const random = xoroshiro128plus(seed);
  const owners = places.map((place) => createOwner(place, places));
  const order = Array.from({ length: slotCount }, (_, slot) => slot);
  for (let last = slotCount - 1; last > 0; last -= 1) {
    const other = uniformInt(random, 0, last);
    [order[last], order[other]] = [order[other]!, order[last]!];
  }
  const shared = new Map<string, SlotState>();
  const slots = new Array<SlotState>(slotCount);
  for (const [position, slot] of order.entries()) {
    const owner = owners[position % owners.length]!.id;
    const token = uniformInt(random, 1, tokens);
    const key = `${owner} ${token}`;
    const state = shared.get(key) ?? {
      owner, token, predecessors: [], movingTo: undefined,
    };
    shared.set(key, state);
    slots[slot] = state;
  }
  return {
    ...createRecord(service, slotCount), version: tokens + 1, owners, slots, writer: 'synthetic',
  };
};
