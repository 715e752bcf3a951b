import type { Owner, PlacementRecord } from './mod.ts';
import { addOwner, createRecord } from './mod.ts';

/** An owner for tests; owners are spread over three failure domains by their number. */
export const testOwner = (number: number, changes: Partial<Owner> = {}): Owner => ({
  id: `n${number}#a`,
  node: `n${number}`,
  incarnation: 'a',
  instance: `i${number}`,
  controlAddress: `127.0.0.1:${10_000 + number}`,
  peerAddress: `127.0.0.1:${20_000 + number}`,
  region: 'r1',
  failureDomain: `d${number % 3}`,
  weight: 1,
  witnesses: [],
  previousWitnesses: [],
  state: 'active',
  ...changes,
});

/** A record whose slots were assigned to all owners in one step. */
export const testRecord = (slotCount: number, owners: readonly Owner[]): PlacementRecord => {
  const record = { ...createRecord('ledger', slotCount), owners: owners.slice(1) };
  const [first] = owners;
  return first === undefined ? record : addOwner(record, first) ?? record;
};
