/** Counts the in-flight requests under the lease of one owner, by slot and key. */
export interface InFlightRequests {
  /** Adds a request. The returned function removes it; further calls have no effect. */
  readonly begin: (slot: number, key: string) => () => void;
  readonly hasKey: (slot: number, key: string) => boolean;
  /** True when the slot has no requests other than for `hotKeys`, which are owned separately. */
  readonly isSlotIdle: (slot: number, hotKeys: ReadonlyMap<string, unknown>) => boolean;
  /** Sets the listener that is called at the end of each request; it replaces an earlier one. */
  readonly onEnd: (listener: () => void) => void;
}

/** Creates the counts of in-flight requests, initially empty. */
export const createInFlightRequests = (): InFlightRequests => {
  const bySlot = new Map<number, Map<string, number>>();
  let notifyEnd = () => undefined as void;

  const end = (slot: number, key: string) => {
    const counts = bySlot.get(slot);
    const count = counts?.get(key) ?? 0;
    if (count > 1) counts?.set(key, count - 1);
    else counts?.delete(key);
    if (counts?.size === 0) bySlot.delete(slot);
    notifyEnd();
  };

  return {
    begin: (slot, key) => {
      const counts = bySlot.get(slot) ?? new Map<string, number>();
      bySlot.set(slot, counts);
      counts.set(key, (counts.get(key) ?? 0) + 1);
      let ended = false;
      return () => {
        if (!ended) end(slot, key);
        ended = true;
      };
    },
    hasKey: (slot, key) => bySlot.get(slot)?.has(key) ?? false,
    isSlotIdle: (slot, hotKeys) => {
      for (const key of bySlot.get(slot)?.keys() ?? []) if (!hotKeys.has(key)) return false;
      return true;
    },
    onEnd: (listener) => {
      notifyEnd = listener;
    },
  };
};
