/** Kinds of loss of an owner. */
export const faultKinds = ['kill', 'freeze', 'one-way partition'] as const;

export type FaultKind = (typeof faultKinds)[number];

/** One loss of an owner. */
export interface FaultOutcome {
  readonly kind: FaultKind;
  /** Longest time that a sampled key had no owner, in ms. */
  readonly unownedMs: number;
  /** Time from the fault until every sampled key had another owner, in ms. */
  readonly takenOverMs: number;
  /** Observations of a key with more than one owner. */
  readonly overlaps: number;
}

/** What the observer needs to know of a fleet under a fault. */
export interface ObservedFleet {
  readonly keys: readonly string[];
  /** Indices of the running processes that would serve the key at this moment. */
  readonly serversOf: (key: string) => readonly number[];
  readonly victim: number;
}

/** Follows keys from the moment of a fault until other processes serve them all. */
export const createObserver = ({ keys, serversOf, victim }: ObservedFleet, faultMs: number) => {
  const lastServedMs = new Map<string, number>(keys.map((key) => [key, faultMs]));
  const gapsMs = new Map<string, number>();
  let overlaps = 0;
  const observe = (nowMs: number) => {
    for (const key of keys) {
      const servers = serversOf(key);
      if (servers.length > 1) overlaps += 1;
      if (gapsMs.has(key)) continue;
      if (servers.some((server) => server !== victim)) {
        gapsMs.set(key, nowMs - lastServedMs.get(key)!);
      } else if (servers.length > 0) lastServedMs.set(key, nowMs);
    }
    return gapsMs.size === keys.length;
  };
  return {
    observe,
    unownedMs: () => (gapsMs.size === keys.length ? Math.max(...gapsMs.values()) : Infinity),
    overlaps: () => overlaps,
  };
};
