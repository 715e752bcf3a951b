import type { Clock } from '../clock/mod.ts';

/** Since when the entries of nodes are missing from the store. */
export interface AbsenceTable {
  /** Notes the nodes whose entries are there, and those whose entries are wanted. */
  readonly observe: (present: ReadonlySet<string>, wanted: Iterable<string>) => void;
  /** The store could not be read for a while: absent nodes may have been back meanwhile. */
  readonly restart: () => void;
  /** The entry of a node has changed, so it was there, even if it is missing again. */
  readonly touch: (node: string) => void;
  /** Time in ms for which the entry of a node has been missing without a break. */
  readonly absentMs: (node: string) => number;
}

/**
 * Creates an empty table. The absence of an entry starts a wait and never ends one, since the store
 * may withdraw entries whose nodes still serve.
 *
 * @param clock Clock.
 * @returns The table.
 *
 * @example
 * absences.observe(new Set(['host-1']), ['host-1', 'host-2']);
 * absences.absentMs('host-2');
 */
export const createAbsenceTable = (clock: Clock): AbsenceTable => {
  const since = new Map<string, number>();
  return {
    observe: (present, wanted) => {
      const missing = new Set<string>();
      for (const node of wanted) if (!present.has(node)) missing.add(node);
      for (const node of since.keys()) if (!missing.has(node)) since.delete(node);
      for (const node of missing) if (!since.has(node)) since.set(node, clock.now());
    },
    restart: () => {
      for (const node of since.keys()) since.set(node, clock.now());
    },
    touch: (node) => {
      if (since.has(node)) since.set(node, clock.now());
    },
    absentMs: (node) => {
      const start = since.get(node);
      return start === undefined ? 0 : clock.now() - start;
    },
  };
};
