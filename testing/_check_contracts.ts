import { createDisturbances } from './_disturbances.ts';
import type { Finding } from './_finding.ts';
import { type EventOf, eventsOf, type History } from './history.ts';

/** Time in ms in which a contract is in force everywhere at today's sizes. */
export const IN_FORCE_BOUND_MS = 2000;

/**
 * Time in ms in which a node that was cut off, paused or started is connected to the rest again:
 * lost members are tried every 10 s on average, in jittered intervals of up to 15 s.
 */
const REJOIN_BOUND_MS = 20_000;

const findReversals = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const held = new Map<string, number>();
  for (const {
    at, node, process, holder, key, revision,
  } of eventsOf(history, 'in force')) {
    const id = `${holder} of ${node}#${process}, ${key}`;
    const known = held.get(id) ?? 0;
    if (revision < known) findings.push({ at, detail: `${id}: from ${known} to ${revision}` });
    held.set(id, revision);
  }
  return findings;
};

/**
 * Finds acknowledged contracts that a connected node does not have within the bound. A node counts
 * as connected while it runs and none of its links is cut. The bound counts from the time at which
 * it is connected and can learn the contract from its writer or from the store.
 */
const findLate = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const disturbances = createDisturbances();
  const inForce = new Map<string, number>();
  const reported = new Set<string>();
  const acknowledged: EventOf<'contract acknowledged'>[] = [];

  const dueMs = (contract: EventOf<'contract acknowledged'>, node: string): number => {
    const nodeSince = disturbances.connectedSince(node) ?? Infinity;
    const writerSince = disturbances.connectedSince(contract.node) ?? Infinity;
    const sourceSince = Math.min(writerSince, disturbances.storeSince() ?? Infinity);
    const sinceMs = Math.max(contract.at, nodeSince, sourceSince);
    const isSettled = Math.max(nodeSince, writerSince) + REJOIN_BOUND_MS <= contract.at;
    return sinceMs + (isSettled ? IN_FORCE_BOUND_MS : REJOIN_BOUND_MS);
  };

  const check = (at: number) => {
    for (const contract of acknowledged) {
      const { customer, revision } = contract;
      for (const node of disturbances.nodes()) {
        const isInForce = (inForce.get(`${node} ${customer}`) ?? 0) >= revision;
        const id = `${node} ${customer} ${revision}`;
        if (isInForce || reported.has(id) || at <= dueMs(contract, node)) continue;
        reported.add(id);
        const detail = `${node} has not revision ${revision} of ${customer}, acknowledged `
          + `at ${contract.at} ms`;
        findings.push({ at, detail });
      }
    }
  };

  for (const event of history) {
    check(event.at);
    disturbances.see(event);
    if (event.kind === 'contract acknowledged') acknowledged.push(event);
    else if (event.kind === 'in force' && event.holder === 'contracts') {
      inForce.set(`${event.node} ${event.key}`, event.revision);
    } else if (event.kind === 'host' && event.state === 'started') {
      for (const id of inForce.keys()) if (id.startsWith(`${event.node} `)) inForce.delete(id);
    }
  }
  return findings;
};

/** Finds revisions that went back on a node, and acknowledged contracts that arrive too late. */
export const findContractViolations = (history: History): readonly Finding[] => [
  ...findReversals(history), ...findLate(history),
];
