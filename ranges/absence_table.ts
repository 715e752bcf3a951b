import type { Clock } from '../clock/mod.ts';

/** Tracks how long the entries of nodes have been missing from the store. */
export interface AbsenceTable {
  /** Compares the nodes whose entries are present with those whose entries are expected. */
  readonly observe: (present: ReadonlySet<string>, wanted: Iterable<string>) => void;
  /** Restarts all waits after a gap in the watch, since entries may have been back during it. */
  readonly restart: () => void;
  /** Restarts the wait for a node whose entry changed: it was present, even if missing again. */
  readonly touch: (node: string) => void;
  /** Time in ms for which the entry of a node has been missing without interruption. */
  readonly absentMs: (node: string) => number;
}

/**
 * Creates an empty table. A missing entry only starts a wait and is never proof by itself that the
 * node has ended, since the store may withdraw the entry of a node that still serves.
 *
 * @param clock Monotonic clock.
 * @returns The table.
 *
 * @example
 * absences.observe(new Set(['host-1']), ['host-1', 'host-2']);
 * absences.absentMs('host-2');
 */
export const createAbsenceTable = (clock: Clock): AbsenceTable => {
  const missingSince = new Map<string, number>();
  return {
    observe: (present, wanted) => {
      const missing = new Set<string>();
      for (const node of wanted) if (!present.has(node)) missing.add(node);
      for (const node of missingSince.keys()) if (!missing.has(node)) missingSince.delete(node);
      for (const node of missing) if (!missingSince.has(node)) missingSince.set(node, clock.now());
    },
    restart: () => {
      for (const node of missingSince.keys()) missingSince.set(node, clock.now());
    },
    touch: (node) => {
      if (missingSince.has(node)) missingSince.set(node, clock.now());
    },
    absentMs: (node) => {
      const start = missingSince.get(node);
      return start === undefined ? 0 : clock.now() - start;
    },
  };
};
