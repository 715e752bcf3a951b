import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';

/** Latency of one completed request. */
export interface LatencySample {
  readonly requestClass: RequestClass;
  readonly durationMs: number;
}

/** Adaptive concurrency limit of one instance. */
export interface ConcurrencyLimit {
  /** Current limit, a whole number of slots. */
  readonly current: () => number;
  /** Records a successful response. */
  readonly recordSuccess: (sample: LatencySample) => void;
  /** Records that the instance refused a request as overloaded. */
  readonly recordOverload: () => void;
  /** Records that the instance did not respond before the deadline. */
  readonly recordTimeout: () => void;
  /** Records that a request had to wait for a slot. */
  readonly recordSaturation: () => void;
}

/** Options of a concurrency limit. */
export interface ConcurrencyLimitOptions {
  readonly clock: Clock;
  /** Slots that the instance announces; may change over time. */
  readonly announcedSlots: () => number;
}

const WINDOW_MS = 250;
const MIN_WINDOW_SAMPLES = 10;
/** The limit shrinks when the median latency is this many times the baseline. */
const LATENCY_TOLERANCE = 2;
/** Highest ratio at which the limit may exceed the announced slots: latency must not rise. */
const EXCESS_LATENCY_TOLERANCE = 1.1;
const MAX_EXCESS_SLOTS_FRACTION = 0.25;
const MIN_GRADIENT = 0.5;
const SMOOTHING = 0.5;
const RECOVERY_STEP_FRACTION = 0.1;
const OVERLOAD_FACTOR = 0.8;
/** A burst of refusals shrinks the limit only once within this time. */
const OVERLOAD_INTERVAL_MS = 100;
/** Weight of one request in the moving average of the fraction that times out. */
const TIMEOUT_WEIGHT = 0.05;
/**
 * Timeouts above this fraction count as overload. Up to it they come from stragglers and from
 * requests dispatched late; the limit would shrink while the instance works at its usual speed.
 */
const MAX_TIMEOUT_FRACTION = 0.2;
/** Growth of the baseline per window, so that a single unusually fast window does not persist. */
const BASELINE_RISE_FACTOR = 1.001;
/**
 * Growth while the limit is at its minimum, where a high latency is not caused by concurrency. With
 * this growth at every limit, the limit would return to an overstated number of announced slots.
 */
const FLOOR_BASELINE_RISE_FACTOR = 1.02;
/** A reduced limit recovers at this interval without samples, as with bulk requests only. */
const IDLE_RECOVERY_MS = 1000;

/** Maximum number of slots by which the limit may exceed the announced slots. */
export const maxExcessSlots = (announced: number) => (
  Math.max(1, Math.floor(announced * MAX_EXCESS_SLOTS_FRACTION))
);

const median = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

/**
 * Creates a limit that starts at the announced slots. Each window compares the median latency of
 * each class with its baseline: the limit shrinks by their ratio while latency is raised, and
 * recovers in steps otherwise. Bulk requests are ignored, as their duration depends on their size.
 *
 * @param options Clock and announced slots.
 * @returns The limit.
 *
 * @example
 * const limit = createConcurrencyLimit({ clock, announcedSlots: () => 6 });
 */
export const createConcurrencyLimit = (options: ConcurrencyLimitOptions): ConcurrencyLimit => {
  const { clock, announcedSlots } = options;
  const baselines = new Map<RequestClass, number>();
  const durations = new Map<RequestClass, number[]>();
  let announced = announcedSlots();
  let limit = announced;
  let windowStart = clock.now();
  let isSaturated = false;
  let lastOverloadAt = -Infinity;
  let timeoutFraction = 0;

  const minLimit = () => Math.min(2, announced);

  const clamp = (value: number) => (
    Math.min(announced + maxExcessSlots(announced), Math.max(minLimit(), value))
  );

  const recover = () => {
    limit = Math.min(announced, limit + Math.max(1, announced * RECOVERY_STEP_FRACTION));
  };

  const refreshAnnounced = () => {
    const latest = announcedSlots();
    if (latest !== announced) {
      announced = latest;
      limit = announced;
    }
    if (limit >= announced) return;
    if (clock.now() - Math.max(windowStart, lastOverloadAt) < IDLE_RECOVERY_MS) return;
    recover();
    windowStart = clock.now();
  };

  /** Mean ratio of latency to baseline of classes with enough samples; updates the baselines. */
  const measureLatencyRatio = (): number | undefined => {
    const rise = limit <= minLimit() ? FLOOR_BASELINE_RISE_FACTOR : BASELINE_RISE_FACTOR;
    let weighted = 0;
    let samples = 0;
    for (const [requestClass, values] of durations) {
      if (values.length < MIN_WINDOW_SAMPLES) continue;
      const measured = median(values);
      const baseline = baselines.get(requestClass) ?? measured;
      baselines.set(requestClass, Math.min(measured, baseline * rise));
      weighted += (measured / Math.max(baseline, Number.EPSILON)) * values.length;
      samples += values.length;
      durations.set(requestClass, []);
    }
    return samples === 0 ? undefined : weighted / samples;
  };

  const adjustLimit = (ratio: number) => {
    if (ratio > LATENCY_TOLERANCE) {
      const target = limit * Math.max(MIN_GRADIENT, LATENCY_TOLERANCE / ratio);
      limit = clamp(limit + (target - limit) * SMOOTHING);
    } else if (limit < announced) {
      recover();
    } else if (ratio > EXCESS_LATENCY_TOLERANCE) {
      limit = announced;
    } else if (isSaturated) {
      limit = clamp(limit + RECOVERY_STEP_FRACTION);
    }
  };

  const closeWindow = () => {
    if (clock.now() - windowStart < WINDOW_MS) return;
    const ratio = measureLatencyRatio();
    if (ratio === undefined) return;
    adjustLimit(ratio);
    windowStart = clock.now();
    isSaturated = false;
  };

  const recordOverload = () => {
    if (clock.now() - lastOverloadAt < OVERLOAD_INTERVAL_MS) return;
    lastOverloadAt = clock.now();
    limit = clamp(Math.min(limit, announced) * OVERLOAD_FACTOR);
  };

  return {
    current: () => {
      refreshAnnounced();
      return Math.floor(limit);
    },
    recordSuccess: ({ requestClass, durationMs }) => {
      timeoutFraction -= timeoutFraction * TIMEOUT_WEIGHT;
      if (requestClass === 'bulk') return;
      const values = durations.get(requestClass) ?? [];
      values.push(durationMs);
      durations.set(requestClass, values);
      closeWindow();
    },
    recordOverload,
    recordTimeout: () => {
      timeoutFraction += (1 - timeoutFraction) * TIMEOUT_WEIGHT;
      if (timeoutFraction > MAX_TIMEOUT_FRACTION) recordOverload();
    },
    recordSaturation: () => {
      isSaturated = true;
    },
  };
};
