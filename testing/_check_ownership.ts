import type { History } from './history.ts';
import type { Finding } from './_finding.ts';

interface KeyActivity {
  /** Nodes of the executions in progress, by attempt. */
  readonly running: Map<string, string>;
  /** Nodes that would admit a request for the key. */
  entitled: readonly string[];
}

/**
 * Finds the times at which two nodes own one key: each of them executes a request for it or would
 * admit one. Paused hosts are left out, as they execute nothing.
 */
export const findOwnershipOverlaps = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const paused = new Set<string>();
  const activities = new Map<string, KeyActivity>();

  const activityOf = (key: string): KeyActivity => {
    const previous = activities.get(key);
    if (previous !== undefined) return previous;
    const created: KeyActivity = { running: new Map(), entitled: [] };
    activities.set(key, created);
    return created;
  };

  const check = (at: number, key: string) => {
    const { running, entitled } = activityOf(key);
    const nodes = new Set([...running.values(), ...entitled].filter((node) => !paused.has(node)));
    if (nodes.size < 2) return;
    const names = [...nodes].sort().join(' and ');
    const known = findings.at(-1);
    const detail = `${names} own ${key}`;
    if (known?.detail !== detail) findings.push({ at, detail });
  };

  for (const event of history) {
    if (event.kind === 'rights') {
      activityOf(event.key).entitled = event.nodes;
      check(event.at, event.key);
    } else if (event.kind === 'execution start') {
      activityOf(event.key).running.set(event.attempt, event.node);
      check(event.at, event.key);
    } else if (event.kind === 'execution end') {
      activityOf(event.key).running.delete(event.attempt);
    } else if (event.kind === 'host') {
      if (event.state === 'paused') paused.add(event.node);
      else paused.delete(event.node);
      if (event.state === 'resumed') for (const key of activities.keys()) check(event.at, key);
    }
  }
  return findings;
};
