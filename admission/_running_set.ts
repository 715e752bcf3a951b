import type { RequestClass } from '../contract/mod.ts';

/** A request that holds a slot. */
export interface RunningRequest {
  readonly requestClass: RequestClass;
  readonly startedAt: number;
  /** Time at which the request starts to count as long. */
  readonly longAt: number;
  readonly deadlineAt: number;
  /** Slot time in ms charged to the class at dispatch. */
  readonly chargedMs: number;
}

/** The requests in flight at one instance. */
export interface RunningSet {
  readonly add: (entry: RunningRequest) => void;
  /** Returns false when the request is not in the set. */
  readonly remove: (entry: RunningRequest) => boolean;
  readonly size: () => number;
  readonly countLong: (now: number) => { readonly long: number; readonly longChecks: number };
  /** Time at which the next check starts to count as long; `Infinity` without one. */
  readonly nextLongCheckAt: (now: number) => number;
}

/** Creates an empty set. */
export const createRunningSet = (): RunningSet => {
  const running = new Set<RunningRequest>();
  return {
    add: (entry) => running.add(entry),
    remove: (entry) => running.delete(entry),
    size: () => running.size,
    countLong: (now) => {
      let long = 0;
      let longChecks = 0;
      for (const { requestClass, longAt } of running) {
        if (longAt > now) continue;
        long += 1;
        if (requestClass === 'check') longChecks += 1;
      }
      return { long, longChecks };
    },
    nextLongCheckAt: (now) => {
      let next = Infinity;
      for (const { requestClass, longAt } of running) {
        if (requestClass === 'check' && longAt > now) next = Math.min(next, longAt);
      }
      return next;
    },
  };
};
