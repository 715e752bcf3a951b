import type { PlacementRecord, SlotState } from '../placement/mod.ts';
import { eventsOf, type History } from './history.ts';
import type { Finding } from './_finding.ts';

type Unit = readonly [name: string, state: SlotState];

/** The slots and hot keys of a record; a hot key that is new continues the state of no unit. */
const unitsOf = (record: PlacementRecord) => new Map<string, SlotState>([
  ...record.slots.map((state, slot): Unit => [`slot ${slot}`, state]),
  ...record.hotKeys.map(({ key, state }): Unit => [`hot key ${key}`, state]),
]);

const ownerProblem = (record: PlacementRecord, state: SlotState): string | undefined => {
  if (state.owner === undefined) {
    return state.predecessors.length === 0 ? 'lost its owner without a takeover' : undefined;
  }
  const owner = record.owners.find(({ id }) => id === state.owner);
  if (owner === undefined) return `belongs to ${state.owner}, which the record does not list`;
  return owner.state === 'removed' ? `belongs to ${state.owner}, which was removed` : undefined;
};

/** Owners that may still serve after a change must be listed as predecessors to be cleared. */
const changeProblem = (
  record: PlacementRecord,
  before: SlotState,
  after: SlotState,
): string | undefined => {
  if (after.token < before.token) return `went back from token ${before.token} to ${after.token}`;
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
  return `went to ${after.owner ?? 'nobody'} without clearing ${missing.join(', ')}`;
};

const compare = (before: PlacementRecord, after: PlacementRecord): readonly string[] => {
  if (after.version <= before.version) {
    return [`version ${after.version} was accepted after ${before.version}`];
  }
  const problems: string[] = [];
  const units = unitsOf(after);
  for (const [name, state] of unitsOf(before)) {
    const later = units.get(name);
    if (later === undefined) {
      if (name.startsWith('slot')) problems.push(`${name} is missing`);
      continue;
    }
    const lost = state.owner === undefined ? undefined : ownerProblem(after, later);
    const problem = lost ?? changeProblem(after, state, later);
    if (problem !== undefined) problems.push(`${name} ${problem}`);
  }
  return problems;
};

/**
 * Finds assignments of an accepted record that a later record lost, and versions and tokens that
 * went down.
 */
export const findLostAssignments = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const latest = new Map<string, PlacementRecord>();
  for (const { at, record } of eventsOf(history, 'record')) {
    const before = latest.get(record.service);
    for (const problem of before === undefined ? [] : compare(before, record)) {
      findings.push({ at, detail: `version ${record.version}: ${problem}` });
    }
    latest.set(record.service, record);
  }
  return findings;
};
