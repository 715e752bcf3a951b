import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';

/** One ended request, as the limit sees it. */
export interface LatencySample {
  readonly requestClass: RequestClass;
  readonly durationMs: number;
}

/** Concurrency limit of one instance. */
export interface ConcurrencyLimit {
  /** Whole number of slots. */
  readonly current: () => number;
  readonly recordSuccess: (sample: LatencySample) => void;
  /** The instance shed a request. */
  readonly recordOverload: () => void;
  /** The instance did not answer before the deadline. */
  readonly recordTimeout: () => void;
  /** All slots were in use. */
  readonly noteSaturation: () => void;
}

/** Options of a concurrency limit. */
export interface ConcurrencyLimitOptions {
  readonly clock: Clock;
  /** Slots that the instance announces. */
  readonly announcedSlots: () => number;
}

const WINDOW_MS = 250;
const MIN_WINDOW_SAMPLES = 10;
/** The limit shrinks when the median latency is this many times the baseline. */
const TOLERANCE = 2;
/** Beyond the announced slots, the limit grows only while latency does not rise at all. */
const EXCESS_TOLERANCE = 1.1;
const MAX_EXCESS_FRACTION = 0.25;
const MIN_GRADIENT = 0.5;
const SMOOTHING = 0.5;
const RECOVERY_FRACTION = 0.1;
const OVERLOAD_FACTOR = 0.8;
/** Sheds of one burst shrink the limit once. */
const OVERLOAD_INTERVAL_MS = 100;
/** Weight of one ended request in the fraction that timed out. */
const TIMEOUT_WEIGHT = 0.05;
/**
 * Time-outs above this fraction are an overload. Below it they come from stragglers and from late
 * starts, and the limit would shrink while the instance works at its usual speed.
 */
const MAX_TIMEOUT_FRACTION = 0.2;
/** Rise of the baseline per window, so that a single lucky window is forgotten. */
const BASELINE_RISE = 1.001;
/**
 * Rise while the limit is at its floor: latency that stays high there is not caused by concurrency.
 * With this rise at all times, the limit climbed back to a misleading number of announced slots.
 */
const FLOOR_BASELINE_RISE = 1.02;
/** Without samples, as under bulk requests alone, a reduced limit still recovers. */
const IDLE_RECOVERY_MS = 1000;

/** Slots beyond the announced ones that an instance may be given. */
export const excessSlots = (announced: number) => (
  Math.max(1, Math.floor(announced * MAX_EXCESS_FRACTION))
);

const median = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

/**
 * Creates a limit that starts at the announced slots. Every window compares the median latency of
 * each class to its baseline: the limit shrinks by their ratio while latency has risen, and
 * recovers by steps otherwise. Bulk requests do not count, as their time depends on their size.
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
  let overloadAt = -Infinity;
  let timeoutFraction = 0;

  const floor = () => Math.min(2, announced);

  const clamp = (value: number) => (
    Math.min(announced + excessSlots(announced), Math.max(floor(), value))
  );

  const recover = () => {
    limit = Math.min(announced, limit + Math.max(1, announced * RECOVERY_FRACTION));
  };

  const refresh = () => {
    const latest = announcedSlots();
    if (latest !== announced) {
      announced = latest;
      limit = announced;
    }
    if (limit >= announced) return;
    if (clock.now() - Math.max(windowStart, overloadAt) < IDLE_RECOVERY_MS) return;
    recover();
    windowStart = clock.now();
  };

  /** Ratio of latency to baseline over the classes with enough samples; also moves baselines. */
  const measureRatio = (): number | undefined => {
    const rise = limit <= floor() ? FLOOR_BASELINE_RISE : BASELINE_RISE;
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

  const adapt = (ratio: number) => {
    if (ratio > TOLERANCE) {
      const target = limit * Math.max(MIN_GRADIENT, TOLERANCE / ratio);
      limit = clamp(limit + (target - limit) * SMOOTHING);
    } else if (limit < announced) {
      recover();
    } else if (ratio > EXCESS_TOLERANCE) {
      limit = announced;
    } else if (isSaturated) {
      limit = clamp(limit + RECOVERY_FRACTION);
    }
  };

  const closeWindow = () => {
    if (clock.now() - windowStart < WINDOW_MS) return;
    const ratio = measureRatio();
    if (ratio === undefined) return;
    adapt(ratio);
    windowStart = clock.now();
    isSaturated = false;
  };

  const recordOverload = () => {
    if (clock.now() - overloadAt < OVERLOAD_INTERVAL_MS) return;
    overloadAt = clock.now();
    limit = clamp(Math.min(limit, announced) * OVERLOAD_FACTOR);
  };

  return {
    current: () => {
      refresh();
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
    noteSaturation: () => {
      isSaturated = true;
    },
  };
};
