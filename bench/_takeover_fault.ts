/** Faults that make a process lose its ownership. */
export const faultKinds = ['kill', 'freeze', 'one-way partition'] as const;

export type FaultKind = (typeof faultKinds)[number];

/** Observations of one fault. */
export interface FaultOutcome {
  readonly kind: FaultKind;
  /** Longest time in ms for which a sampled key had no owner; `Infinity` without a takeover. */
  readonly unownedMs: number;
  /** Time in ms from the fault until another process served every sampled key, or the timeout. */
  readonly takenOverMs: number;
  /** Number of observations of a key with more than one owner. */
  readonly overlaps: number;
}

/** Access of the observer to a fleet under a fault. */
export interface ObservedFleet {
  readonly keys: readonly string[];
  /** Returns the indices of the running processes that would currently serve a key. */
  readonly serversOf: (key: string) => readonly number[];
  /** Index of the process with the fault. */
  readonly victim: number;
}

/**
 * Creates an observer of the owners of keys after a fault. Its `observe` returns `true` once
 * processes other than the victim have served every key.
 */
export const createOwnershipObserver = (
  { keys, serversOf, victim }: ObservedFleet,
  faultMs: number,
) => {
  const lastServedMs = new Map<string, number>(keys.map((key) => [key, faultMs]));
  const unownedByKeyMs = new Map<string, number>();
  let overlaps = 0;
  const observe = (nowMs: number) => {
    for (const key of keys) {
      const servers = serversOf(key);
      if (servers.length > 1) overlaps += 1;
      if (unownedByKeyMs.has(key)) continue;
      if (servers.some((server) => server !== victim)) {
        unownedByKeyMs.set(key, nowMs - lastServedMs.get(key)!);
      } else if (servers.length > 0) lastServedMs.set(key, nowMs);
    }
    return unownedByKeyMs.size === keys.length;
  };
  return {
    observe,
    unownedMs: () => (
      unownedByKeyMs.size === keys.length ? Math.max(...unownedByKeyMs.values()) : Infinity
    ),
    overlaps: () => overlaps,
  };
};
