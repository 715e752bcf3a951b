import type { Clock } from '../clock/mod.ts';

/** Outcome of one attempt, as a sample of the health of its instance. */
export interface HealthSample {
  readonly instance: string;
  readonly isFailure: boolean;
  /** Duration over the mean of its request class; `undefined` if not a measure of health. */
  readonly latencyRatio: number | undefined;
}

/** Temporarily ejects failing and very slow instances from load balancing. */
export interface OutlierEjection {
  readonly record: (sample: HealthSample) => void;
  readonly isEjected: (instance: string) => boolean;
  /** Monotonic time in ms at which the latest ejection ends or ended; `undefined` without one. */
  readonly ejectedUntil: (instance: string) => number | undefined;
  /** Sets the existing instances; the state of all others is dropped. */
  readonly setInstances: (instances: readonly string[]) => void;
}

interface InstanceHealth {
  samples: number;
  failureRate: number;
  /** Moving average of the latency ratios. */
  meanRatio: number;
  ejectedUntil: number;
  /** Ejections since the instance was last healthy. */
  consecutiveEjections: number;
}

const MIN_SAMPLES = 20;
const MAX_MEAN_SAMPLES = 50;
const MAX_FAILURE_RATE = 0.5;
/** Minimum difference to the median failure rate of the other instances for an ejection. */
const FAILURE_RATE_MARGIN = 0.2;
/** Load balancing already sends less to slower instances; only far slower ones are ejected. */
const EJECTION_LATENCY_FACTOR = 8;
/** Up to this latency ratio, latency alone does not cause a comparison with the others. */
const SUSPECT_LATENCY_RATIO = 2;
const MAX_EJECTED_FRACTION = 0.5;
const BASE_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;

const medianOf = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

const createHealth = (): InstanceHealth => ({
  samples: 0, failureRate: 0, meanRatio: 1, ejectedUntil: -Infinity, consecutiveEjections: 0,
});

/**
 * Creates outlier ejection for the instances of one service. At most half of the instances are
 * ejected at any time, and the ejection time doubles with each consecutive ejection.
 *
 * @param clock Clock that ends ejections.
 * @returns Outlier ejection without instances.
 *
 * @example
 * const ejection = createOutlierEjection(clock);
 * ejection.setInstances(['i1', 'i2']);
 */
export const createOutlierEjection = (clock: Clock): OutlierEjection => {
  const healths = new Map<string, InstanceHealth>();

  const isEjected = (instance: string) => {
    const until = healths.get(instance)?.ejectedUntil ?? -Infinity;
    return until !== -Infinity && until > clock.now();
  };

  const mayEject = () => {
    let ejected = 0;
    for (const instance of healths.keys()) if (isEjected(instance)) ejected += 1;
    return ejected + 1 <= healths.size * MAX_EJECTED_FRACTION;
  };

  const isOutlier = (instance: string, health: InstanceHealth) => {
    if (
      health.failureRate <= MAX_FAILURE_RATE
      && health.meanRatio <= SUSPECT_LATENCY_RATIO
    ) return false;
    const others = [...healths]
      .filter(([name, { samples }]) => name !== instance && samples >= MIN_SAMPLES)
      .map(([, other]) => other);
    if (others.length === 0) return health.failureRate > MAX_FAILURE_RATE;
    const medianFailureRate = medianOf(others.map(({ failureRate }) => failureRate));
    const failsMoreThanOthers = health.failureRate > medianFailureRate + FAILURE_RATE_MARGIN;
    if (health.failureRate > MAX_FAILURE_RATE && failsMoreThanOthers) return true;
    const medianRatio = medianOf(others.map(({ meanRatio }) => meanRatio));
    return health.meanRatio > EJECTION_LATENCY_FACTOR * medianRatio;
  };

  const eject = (instance: string, { consecutiveEjections }: InstanceHealth) => {
    const durationMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** consecutiveEjections);
    healths.set(instance, {
      ...createHealth(),
      ejectedUntil: clock.now() + durationMs,
      consecutiveEjections: consecutiveEjections + 1,
    });
  };

  return {
    record: ({ instance, isFailure, latencyRatio }) => {
      const health = healths.get(instance);
      // Results of requests sent before the ejection must not count after it.
      if (health === undefined || isEjected(instance)) return;
      health.samples += 1;
      const alpha = 1 / Math.min(health.samples, MAX_MEAN_SAMPLES);
      health.failureRate += ((isFailure ? 1 : 0) - health.failureRate) * alpha;
      if (latencyRatio !== undefined) health.meanRatio += (latencyRatio - health.meanRatio) * alpha;
      if (health.samples < MIN_SAMPLES) return;
      if (isOutlier(instance, health) && mayEject()) eject(instance, health);
      else if (health.samples >= MAX_MEAN_SAMPLES && health.failureRate < FAILURE_RATE_MARGIN) {
        health.consecutiveEjections = 0;
      }
    },
    isEjected,
    ejectedUntil: (instance) => {
      const health = healths.get(instance);
      if (health === undefined || health.ejectedUntil === -Infinity) return undefined;
      return health.ejectedUntil;
    },
    setInstances: (instances) => {
      const known = new Set(instances);
      for (const name of healths.keys()) if (!known.has(name)) healths.delete(name);
      for (const name of instances) if (!healths.has(name)) healths.set(name, createHealth());
    },
  };
};
