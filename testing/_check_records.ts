import type { PlacementRecord, SlotState } from '../placement/mod.ts';
import { eventsOf, type History } from './history.ts';
import type { Finding } from './_finding.ts';

type Assignment = readonly [name: string, state: SlotState];

/** States of the slots and hot keys of a record by name; a new hot key has no earlier state. */
const assignmentsOf = (record: PlacementRecord) => new Map<string, SlotState>([
  ...record.slots.map((state, slot): Assignment => [`slot ${slot}`, state]),
  ...record.hotKeys.map(({ key, state }): Assignment => [`hot key ${key}`, state]),
]);

const findOwnerProblem = (record: PlacementRecord, state: SlotState): string | undefined => {
  if (state.owner === undefined) {
    return state.predecessors.length === 0 ? 'lost its owner without a takeover' : undefined;
  }
  const owner = record.owners.find(({ id }) => id === state.owner);
  if (owner === undefined) return `is assigned to ${state.owner}, which the record does not list`;
  return owner.state === 'removed' ? `is assigned to ${state.owner}, which was removed` : undefined;
};

/** Requires that owners which may still serve after a change are listed as predecessors. */
const findChangeProblem = (
  record: PlacementRecord,
  before: SlotState,
  after: SlotState,
): string | undefined => {
  if (after.token < before.token) return `lowered its token from ${before.token} to ${after.token}`;
  if (before.owner === after.owner) {
    return undefined;
  }
  if (after.token !== record.version) return 'changed owner without a new token';
  const isPlannedMove = before.owner !== undefined && before.movingTo === after.owner;
  const expected = [
    ...before.predecessors,
    ...(isPlannedMove || before.owner === undefined ? [] : [before.owner]),
  ];
  const missing = expected.filter((id) => !after.predecessors.includes(id));
  if (missing.length === 0) return undefined;
  return `moved to ${after.owner ?? 'no owner'} without clearing ${missing.join(', ')}`;
};

const compareRecords = (before: PlacementRecord, after: PlacementRecord): readonly string[] => {
  if (after.version <= before.version) {
    return [`version ${after.version} was accepted after ${before.version}`];
  }
  const problems: string[] = [];
  const assignmentsAfter = assignmentsOf(after);
  for (const [name, state] of assignmentsOf(before)) {
    const later = assignmentsAfter.get(name);
    if (later === undefined) {
      if (name.startsWith('slot')) problems.push(`${name} is missing`);
      continue;
    }
    const lost = state.owner === undefined ? undefined : findOwnerProblem(after, later);
    const problem = lost ?? findChangeProblem(after, state, later);
    if (problem !== undefined) problems.push(`${name} ${problem}`);
  }
  return problems;
};

/**
 * Finds assignments of an accepted record that a later record loses, and versions and tokens that
 * decrease.
 */
export const findLostAssignments = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const latest = new Map<string, PlacementRecord>();
  for (const { at, record } of eventsOf(history, 'record')) {
    const before = latest.get(record.service);
    for (const problem of before === undefined ? [] : compareRecords(before, record)) {
      findings.push({ at, detail: `version ${record.version}: ${problem}` });
    }
    latest.set(record.service, record);
  }
  return findings;
};
