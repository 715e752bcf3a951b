import type { Clock } from '../clock/mod.ts';
import type { Departure, DepartureLog, DirectoryInstance } from '../directory/mod.ts';

/** Identifies one process of an instance. */
export interface InstanceProcess {
  readonly instance: string;
  /** Start time of the process in ms since the Unix epoch. */
  readonly startedAt: number;
}

/** The instances that have left this host, as far as its node has acknowledged it. */
export interface LocalDepartures {
  /** Records an acknowledged departure. */
  readonly record: (instance: string, startedAt: number) => void;
  /** Applies the directory entry that an earlier process of this node left. */
  readonly restore: (former: DirectoryInstance) => void;
  /**
   * Returns the monotonic time in ms at which the departure of a process, or of a later one of its
   * identifier, was acknowledged, or `-Infinity` if an earlier process of this node did; undefined
   * if it has not left.
   */
  readonly leftAt: (process: InstanceProcess) => number | undefined;
  /** Returns whether the departures that earlier processes acknowledged are known. */
  readonly isSettled: () => boolean;
  /** Resolves once all departures so far are stored, or after a limit. */
  readonly stored: () => Promise<unknown>;
}

/** Returns whether two announcements, or other descriptions, are of the same process. */
export const isSameProcess = (left: InstanceProcess, right: InstanceProcess): boolean => (
  left.instance === right.instance && left.startedAt === right.startedAt
);

/**
 * Returns whether a process has left. The processes of an identifier run one after the other, and
 * requests name only the identifier: those for an earlier process reach the one that has left. A
 * start after the departure cannot be right, and tells nothing of other processes.
 */
const isDepartureOf = ({ instance, startedAt, leftAt }: Departure, process: InstanceProcess) => {
  if (instance !== process.instance) return false;
  const startsUntil = startedAt ?? leftAt;
  if (startsUntil > leftAt) return process.startedAt === startedAt;
  return process.startedAt <= startsUntil;
};

/** Creates the departures of a host from the log that outlasts the process of its node. */
export const createLocalDepartures = (
  clock: Clock,
  log: Pick<DepartureLog, 'add' | 'departures' | 'isSettled'>,
): LocalDepartures => {
  /** Monotonic time in ms of the acknowledgements that this process has given. */
  const acknowledgedAt = new Map<Departure, number>();
  let formerEntry: DirectoryInstance | undefined;
  let stored: Promise<unknown> = Promise.resolve();

  const find = (process: InstanceProcess) => (
    log.departures().find((departure) => isDepartureOf(departure, process))
  );

  return {
    record: (instance, startedAt) => {
      const departure = { instance, startedAt, leftAt: clock.wallTime() };
      if (find(departure) !== undefined) return;
      acknowledgedAt.set(departure, clock.now());
      stored = Promise.all([stored, log.add(departure)]);
      const kept = new Set(log.departures());
      for (const known of acknowledgedAt.keys()) if (!kept.has(known)) acknowledgedAt.delete(known);
    },
    restore: (former) => {
      if (former.state === 'draining') formerEntry = former;
    },
    leftAt: (process) => {
      const departure = find(process);
      if (departure !== undefined) return acknowledgedAt.get(departure) ?? -Infinity;
      const isFormer = formerEntry?.instance === process.instance
        && process.startedAt <= formerEntry.startedAt;
      return isFormer ? -Infinity : undefined;
    },
    isSettled: log.isSettled,
    stored: () => stored,
  };
};
