import type { RequestClass } from '../contract/mod.ts';

/** A request that holds a slot. */
export interface Running {
  readonly requestClass: RequestClass;
  readonly startedAt: number;
  /** Time from which on it counts as long. */
  readonly longAt: number;
  readonly deadlineAt: number;
  /** Slot time charged to the class at the start. */
  readonly chargedMs: number;
}

/** The requests that hold a slot of one instance. */
export interface RunningSet {
  readonly add: (entry: Running) => void;
  /** False when the request has ended before. */
  readonly remove: (entry: Running) => boolean;
  readonly size: () => number;
  readonly countLong: (now: number) => { readonly long: number; readonly longChecks: number };
  /** Next time at which a check counts as long; `Infinity` without one. */
  readonly nextLongCheckAt: (now: number) => number;
}

/** Creates an empty set. */
export const createRunningSet = (): RunningSet => {
  const running = new Set<Running>();
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
