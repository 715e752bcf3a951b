import { createFaultTracker } from './_fault_tracker.ts';
import type { Finding } from './_finding.ts';
import { type EventOf, eventsOf, type History } from './history.ts';

/** Time in ms within which a contract must be in force on all nodes at current fleet sizes. */
export const IN_FORCE_BOUND_MS = 2000;

/**
 * Time in ms within which a node that was partitioned, paused or restarted rejoins the others:
 * unreachable members are retried every 10 s on average, in jittered intervals of up to 15 s.
 */
const REJOIN_BOUND_MS = 20_000;

const findRevisionRollbacks = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const latest = new Map<string, number>();
  for (const {
    at, node, process, holder, key, revision,
  } of eventsOf(history, 'in force')) {
    const id = `${holder} of ${node}#${process}, ${key}`;
    const known = latest.get(id) ?? 0;
    if (revision < known) findings.push({ at, detail: `${id}: from ${known} to ${revision}` });
    latest.set(id, revision);
  }
  return findings;
};

/**
 * Finds acknowledged contracts that are not in force on a connected node within the bound. A node
 * is connected while it runs and none of its links is cut. The bound starts when the node is
 * connected and can receive the contract from its writer or from the store.
 */
const findLateContracts = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const faults = createFaultTracker();
  const inForce = new Map<string, number>();
  const reported = new Set<string>();
  const acknowledged: EventOf<'contract acknowledged'>[] = [];

  const dueMs = (contract: EventOf<'contract acknowledged'>, node: string): number => {
    const nodeSince = faults.connectedSince(node) ?? Infinity;
    const writerSince = faults.connectedSince(contract.node) ?? Infinity;
    const sourceSince = Math.min(writerSince, faults.storeWorkingSince() ?? Infinity);
    const sinceMs = Math.max(contract.at, nodeSince, sourceSince);
    const isSettled = Math.max(nodeSince, writerSince) + REJOIN_BOUND_MS <= contract.at;
    return sinceMs + (isSettled ? IN_FORCE_BOUND_MS : REJOIN_BOUND_MS);
  };

  const check = (at: number) => {
    for (const contract of acknowledged) {
      const { customer, revision } = contract;
      for (const node of faults.nodes()) {
        const isInForce = (inForce.get(`${node} ${customer}`) ?? 0) >= revision;
        const id = `${node} ${customer} ${revision}`;
        if (isInForce || reported.has(id) || at <= dueMs(contract, node)) continue;
        reported.add(id);
        const detail = `${node} does not have revision ${revision} of ${customer}, acknowledged `
          + `at ${contract.at} ms`;
        findings.push({ at, detail });
      }
    }
  };

  for (const event of history) {
    check(event.at);
    faults.observe(event);
    if (event.kind === 'contract acknowledged') acknowledged.push(event);
    else if (event.kind === 'in force' && event.holder === 'contracts') {
      inForce.set(`${event.node} ${event.key}`, event.revision);
    } else if (event.kind === 'host' && event.state === 'started') {
      for (const id of inForce.keys()) if (id.startsWith(`${event.node} `)) inForce.delete(id);
    }
  }
  return findings;
};

/** Finds revisions that decrease on a node, and acknowledged contracts that arrive too late. */
export const findContractViolations = (history: History): readonly Finding[] => [
  ...findRevisionRollbacks(history), ...findLateContracts(history),
];
