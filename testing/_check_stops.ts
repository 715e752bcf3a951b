import { createFaultTracker, type FaultTracker } from './_fault_tracker.ts';
import type { Finding } from './_finding.ts';
import { type EventOf, eventsOf, type History } from './history.ts';

/** Time in ms within which a draining upstream must stop getting new requests. */
export const DRAIN_BOUND_MS = 2000;

/** Shortest deadline in ms of the requests of a simulation. */
const SHORTEST_DEADLINE_MS = 1500;

/**
 * Finds executions that begin at a draining upstream after the bound. Slots move by writes to the
 * store, so the bound restarts whenever the store recovers or the node is connected again.
 */
export const findLateExecutions = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const faults = createFaultTracker();
  const leaving = new Map<string, number>();
  for (const event of history) {
    faults.observe(event);
    if (event.kind === 'leaving') leaving.set(event.node, event.at);
    else if (event.kind === 'host' && event.state === 'started') leaving.delete(event.node);
    else if (event.kind === 'execution start') {
      const { at, node, attempt } = event;
      const sinceMs = Math.max(
        leaving.get(node) ?? Infinity,
        faults.connectedSince(node) ?? Infinity,
        faults.storeWorkingSince() ?? Infinity,
      );
      if (at <= sinceMs + DRAIN_BOUND_MS) continue;
      const lateMs = Math.round(at - sinceMs);
      const detail = `${attempt} began at ${node} ${lateMs} ms after its drain could begin`;
      findings.push({ at, detail });
    }
  }
  return findings;
};

const hasNoFaultSince = (faults: FaultTracker, sinceMs: number) => faults.nodes()
  .every((node) => (faults.connectedSince(node) ?? Infinity) <= sinceMs);

/**
 * Finds requests that are in flight when a planned stop ends their node, and executions that are
 * interrupted before their deadline while their node drains and no other fault is active.
 */
export const findInterruptedRequests = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const faults = createFaultTracker();
  const leaving = new Map<string, number>();
  const running = new Map<string, EventOf<'execution start'>>();
  const pending = new Map<string, EventOf<'request'>>();
  const requestedAt = new Map<string, number>();

  const checkStop = ({ at, node, process }: EventOf<'planned stop'>) => {
    for (const { attempt, node: executor } of running.values()) {
      if (executor === node) findings.push({ at, detail: `${attempt} was running at ${node}` });
    }
    for (const request of pending.values()) {
      if (request.node !== node || request.process !== process) continue;
      findings.push({ at, detail: `${request.request} was not answered at ${node}` });
    }
  };

  const checkInterruption = ({ at, attempt, node }: EventOf<'execution end'>) => {
    const leavingMs = leaving.get(node);
    const started = running.get(attempt);
    if (leavingMs === undefined || started === undefined) return;
    const ageMs = at - (requestedAt.get(started.request) ?? -Infinity);
    if (ageMs >= SHORTEST_DEADLINE_MS || !hasNoFaultSince(faults, leavingMs)) return;
    findings.push({ at, detail: `${attempt} was interrupted at ${node}, which was draining` });
  };

  for (const event of history) {
    faults.observe(event);
    if (event.kind === 'request') {
      pending.set(event.request, event);
      requestedAt.set(event.request, event.at);
    } else if (event.kind === 'answer') pending.delete(event.request);
    else if (event.kind === 'refusal' && event.attempt === undefined) pending.delete(event.request);
    else if (event.kind === 'execution start') running.set(event.attempt, event);
    else if (event.kind === 'execution end') {
      if (!event.completed) checkInterruption(event);
      running.delete(event.attempt);
    } else if (event.kind === 'leaving') leaving.set(event.node, event.at);
    else if (event.kind === 'planned stop') checkStop(event);
    else if (event.kind === 'host' && event.state !== 'paused' && event.state !== 'resumed') {
      leaving.delete(event.node);
      // A killed process does not answer its requests.
      for (const [request, { node }] of pending) if (node === event.node) pending.delete(request);
    }
  }
  return findings;
};

/** Longest time in ms for which no node may serve a key after the faults have ended. */
export const SERVED_AGAIN_BOUND_MS = 2000;

/** Finds keys that no node may serve at the end of a simulation, for longer than the bound. */
export const findUnservedKeys = (history: History): readonly Finding[] => {
  const unservedSince = new Map<string, number>();
  for (const { at, key, nodes } of eventsOf(history, 'rights')) {
    if (nodes.length > 0) unservedSince.set(key, Infinity);
    else if ((unservedSince.get(key) ?? Infinity) === Infinity) unservedSince.set(key, at);
  }
  const findings: Finding[] = [];
  for (const { at, keys } of eventsOf(history, 'end')) {
    for (const key of keys) {
      const sinceMs = unservedSince.get(key) ?? 0;
      if (at - sinceMs <= SERVED_AGAIN_BOUND_MS) continue;
      findings.push({ at, detail: `no node has served ${key} since ${Math.round(sinceMs)} ms` });
    }
  }
  return findings;
};
