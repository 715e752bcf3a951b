/** Recent runs of one work class at an instance. */
export interface ClassWork {
  readonly workClass: string;
  /** Number of runs; decays with time. */
  readonly runs: number;
  /** Sum of their durations in ms; decays in the same way. */
  readonly totalMs: number;
}

/** Recent work of an instance. */
export interface InstanceWork {
  readonly slots: number;
  readonly classes: readonly ClassWork[];
}

/**
 * Work in ms for which an instance is taken to be as fast as the mean; keeps an instance with few
 * runs from being taken for a very fast or a very slow one.
 */
const PRIOR_WORK_MS = 1000;
const MS_PER_SECOND = 1000;

const sumByClass = (instances: readonly InstanceWork[]) => {
  const sums = new Map<string, { runs: number; totalMs: number }>();
  for (const { classes } of instances) {
    for (const { workClass, runs, totalMs } of classes) {
      if (runs <= 0) continue;
      const sum = sums.get(workClass) ?? { runs: 0, totalMs: 0 };
      sums.set(workClass, { runs: sum.runs + runs, totalMs: sum.totalMs + totalMs });
    }
  }
  return sums;
};

/**
 * Estimates how many requests a second each instance of a service can serve, in requests of the mix
 * that the whole service gets. An instance that has run only short requests, as an owner without
 * busy keys has, is compared with what others needed for the same classes.
 *
 * @param instances Recent work of each instance.
 * @returns The capacities in the same order; undefined while no run is known.
 *
 * @example
 * const capacities = estimateCapacities([{ slots: 4, classes: [] }]);
 */
export const estimateCapacities = (
  instances: readonly InstanceWork[],
): readonly number[] | undefined => {
  const sums = sumByClass(instances);
  let runs = 0;
  let totalMs = 0;
  for (const sum of sums.values()) {
    runs += sum.runs;
    totalMs += sum.totalMs;
  }
  if (runs === 0 || totalMs === 0) return undefined;
  const meanMs = totalMs / runs;
  return instances.map(({ slots, classes }) => {
    let observedMs = PRIOR_WORK_MS;
    let expectedMs = PRIOR_WORK_MS;
    for (const work of classes) {
      const sum = sums.get(work.workClass);
      if (sum === undefined) continue;
      observedMs += work.totalMs;
      expectedMs += (work.runs * sum.totalMs) / sum.runs;
    }
    return (slots * MS_PER_SECOND * expectedMs) / (meanMs * observedMs);
  });
};
