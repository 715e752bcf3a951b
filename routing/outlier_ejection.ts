import type { Clock } from '../clock/mod.ts';

/** What one attempt says about the health of an instance. */
export interface HealthSample {
  readonly instance: string;
  readonly isFailure: boolean;
  /** Duration over the usual duration of its class; `undefined` when it says nothing. */
  readonly slowness: number | undefined;
}

/** Keeps failing and very slow instances out of the choice for a while. */
export interface OutlierEjection {
  readonly record: (sample: HealthSample) => void;
  readonly isEjected: (instance: string) => boolean;
  /** Time in ms at which the last ejection ended; `undefined` without one. */
  readonly returnedAt: (instance: string) => number | undefined;
  /** Names the instances that exist; others are forgotten. */
  readonly retain: (instances: readonly string[]) => void;
}

interface Health {
  samples: number;
  failureRate: number;
  slowness: number;
  ejectedUntil: number;
  /** Ejections in a row. */
  ejections: number;
}

const MIN_SAMPLES = 20;
const MEAN_SAMPLES = 50;
const MAX_FAILURE_RATE = 0.5;
/** An instance is ejected for failures only if it fails this much more often than the others. */
const FAILURE_MARGIN = 0.2;
/** Slower instances are served by their measured rate; only much slower ones are ejected. */
const MAX_SLOWNESS = 8;
/** Below this, an instance is not compared with the others. */
const SUSPECT_SLOWNESS = 2;
const MAX_EJECTED_FRACTION = 0.5;
const EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;

const medianOf = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

const createHealth = (): Health => ({
  samples: 0, failureRate: 0, slowness: 1, ejectedUntil: -Infinity, ejections: 0,
});

/**
 * Creates outlier ejection for the instances of one service. At most half of the instances are
 * ejected at a time, and the time doubles with each ejection in a row.
 *
 * @param clock Clock for the timed return.
 * @returns Outlier ejection without instances.
 *
 * @example
 * const ejection = createOutlierEjection(clock);
 * ejection.retain(['i1', 'i2']);
 */
export const createOutlierEjection = (clock: Clock): OutlierEjection => {
  const healths = new Map<string, Health>();

  const isEjected = (instance: string) => {
    const until = healths.get(instance)?.ejectedUntil ?? -Infinity;
    return until !== -Infinity && until > clock.now();
  };

  const mayEjectMore = () => {
    let ejected = 0;
    for (const instance of healths.keys()) if (isEjected(instance)) ejected += 1;
    return ejected + 1 <= healths.size * MAX_EJECTED_FRACTION;
  };

  const isOutlier = (instance: string, health: Health) => {
    if (health.failureRate <= MAX_FAILURE_RATE && health.slowness <= SUSPECT_SLOWNESS) return false;
    const others = [...healths]
      .filter(([name, { samples }]) => name !== instance && samples >= MIN_SAMPLES)
      .map(([, other]) => other);
    if (others.length === 0) return health.failureRate > MAX_FAILURE_RATE;
    const usualFailures = medianOf(others.map(({ failureRate }) => failureRate));
    const failsMore = health.failureRate > usualFailures + FAILURE_MARGIN;
    if (health.failureRate > MAX_FAILURE_RATE && failsMore) return true;
    const usualSlowness = medianOf(others.map(({ slowness }) => slowness));
    return health.slowness > MAX_SLOWNESS * usualSlowness;
  };

  const eject = (instance: string, { ejections }: Health) => {
    const durationMs = Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** ejections);
    healths.set(instance, {
      ...createHealth(), ejectedUntil: clock.now() + durationMs, ejections: ejections + 1,
    });
  };

  return {
    record: ({ instance, isFailure, slowness }) => {
      const health = healths.get(instance);
      // Answers to requests sent before the ejection say nothing about the time after it.
      if (health === undefined || isEjected(instance)) return;
      health.samples += 1;
      const weight = 1 / Math.min(health.samples, MEAN_SAMPLES);
      health.failureRate += ((isFailure ? 1 : 0) - health.failureRate) * weight;
      if (slowness !== undefined) health.slowness += (slowness - health.slowness) * weight;
      if (health.samples < MIN_SAMPLES) return;
      if (isOutlier(instance, health) && mayEjectMore()) eject(instance, health);
      else if (health.samples >= MEAN_SAMPLES && health.failureRate < FAILURE_MARGIN) {
        health.ejections = 0;
      }
    },
    isEjected,
    returnedAt: (instance) => {
      const health = healths.get(instance);
      if (health === undefined || health.ejectedUntil === -Infinity) return undefined;
      return health.ejectedUntil;
    },
    retain: (instances) => {
      const known = new Set(instances);
      for (const name of healths.keys()) if (!known.has(name)) healths.delete(name);
      for (const name of instances) if (!healths.has(name)) healths.set(name, createHealth());
    },
  };
};
