import type { Owner, PlacementRecord } from './mod.ts';
import { addOwner, createRecord } from './mod.ts';

/** Creates an owner for tests. Owners are distributed over three failure domains by number. */
export const createTestOwner = (number: number, changes: Partial<Owner> = {}): Owner => ({
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

/** Creates a record whose slots are assigned to all owners in one change. */
export const createTestRecord = (slotCount: number, owners: readonly Owner[]): PlacementRecord => {
  const record = { ...createRecord('ledger', slotCount), owners: owners.slice(1) };
  const [first] = owners;
  return first === undefined ? record : addOwner(record, first) ?? record;
};
