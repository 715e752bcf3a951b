import { createDisturbances, type Disturbances } from './_disturbances.ts';
import type { Finding } from './_finding.ts';
import { type EventOf, eventsOf, type History } from './history.ts';

/** Time in ms after which a leaving upstream gets no new work. */
export const LEAVING_BOUND_MS = 2000;

/** Shortest deadline of the requests of a run, in ms. */
const SHORTEST_DEADLINE_MS = 1500;

/**
 * Finds executions that began at a leaving upstream after the bound. Slots move by writes to the
 * store, so the bound counts anew from the time at which the store works and the node is connected.
 */
export const findLateWork = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const disturbances = createDisturbances();
  const leaving = new Map<string, number>();
  for (const event of history) {
    disturbances.see(event);
    if (event.kind === 'leaving') leaving.set(event.node, event.at);
    else if (event.kind === 'host' && event.state === 'started') leaving.delete(event.node);
    else if (event.kind === 'execution start') {
      const { at, node, attempt } = event;
      const sinceMs = Math.max(
        leaving.get(node) ?? Infinity,
        disturbances.connectedSince(node) ?? Infinity,
        disturbances.storeSince() ?? Infinity,
      );
      if (at <= sinceMs + LEAVING_BOUND_MS) continue;
      const lateMs = Math.round(at - sinceMs);
      const detail = `${attempt} began at ${node} ${lateMs} ms after it could leave`;
      findings.push({ at, detail });
    }
  }
  return findings;
};

const isQuietSince = (disturbances: Disturbances, sinceMs: number) => disturbances.nodes()
  .every((node) => (disturbances.connectedSince(node) ?? Infinity) <= sinceMs);

/**
 * Finds requests that were in flight when a planned stop ended their node, and executions that were
 * cut before their deadline while a node left and no other fault was there.
 */
export const findCutRequests = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const disturbances = createDisturbances();
  const leaving = new Map<string, number>();
  const running = new Map<string, EventOf<'execution start'>>();
  const open = new Map<string, EventOf<'request'>>();
  const requestedMs = new Map<string, number>();

  const checkStop = ({ at, node, process }: EventOf<'planned stop'>) => {
    for (const { attempt, node: place } of running.values()) {
      if (place === node) findings.push({ at, detail: `${attempt} was running at ${node}` });
    }
    for (const request of open.values()) {
      if (request.node !== node || request.process !== process) continue;
      findings.push({ at, detail: `${request.request} was not answered at ${node}` });
    }
  };

  const checkCut = ({ at, attempt, node }: EventOf<'execution end'>) => {
    const leavingMs = leaving.get(node);
    const started = running.get(attempt);
    if (leavingMs === undefined || started === undefined) return;
    const ageMs = at - (requestedMs.get(started.request) ?? -Infinity);
    if (ageMs >= SHORTEST_DEADLINE_MS || !isQuietSince(disturbances, leavingMs)) return;
    findings.push({ at, detail: `${attempt} was cut at ${node}, which was leaving` });
  };

  for (const event of history) {
    disturbances.see(event);
    if (event.kind === 'request') {
      open.set(event.request, event);
      requestedMs.set(event.request, event.at);
    } else if (event.kind === 'answer') open.delete(event.request);
    else if (event.kind === 'refusal' && event.attempt === undefined) open.delete(event.request);
    else if (event.kind === 'execution start') running.set(event.attempt, event);
    else if (event.kind === 'execution end') {
      if (!event.completed) checkCut(event);
      running.delete(event.attempt);
    } else if (event.kind === 'leaving') leaving.set(event.node, event.at);
    else if (event.kind === 'planned stop') checkStop(event);
    else if (event.kind === 'host' && event.state !== 'paused' && event.state !== 'resumed') {
      leaving.delete(event.node);
      // A killed process answers nobody.
      for (const [request, { node }] of open) if (node === event.node) open.delete(request);
    }
  }
  return findings;
};

/** Longest time in ms without anybody who may serve a key, once the faults have ended. */
export const SERVED_AGAIN_BOUND_MS = 2000;

/** Finds keys that nobody may serve at the end of a run, and has not for longer than the bound. */
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
      findings.push({ at, detail: `nobody serves ${key} since ${Math.round(sinceMs)} ms` });
    }
  }
  return findings;
};
