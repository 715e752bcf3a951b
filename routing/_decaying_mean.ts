import type { Clock } from '../clock/mod.ts';

/** Time constant in ms while samples are rare; older ones say nothing about waves of demand. */
const MAX_TIME_CONSTANT_MS = 1500;

/** Mean of samples whose weights decay exponentially with their age. */
export interface DecayingMean {
  readonly record: (value: number) => void;
  /** Returns the mean; `undefined` before the first sample. */
  readonly mean: () => number | undefined;
  /** Time in ms since the latest sample; Infinity before the first one. */
  readonly ageMs: () => number;
}

/**
 * Creates a mean without samples; the weight of a sample falls to 1/e in `timeConstantMs`. While
 * samples are rare, it falls slower, so that the mean is one of about `minSamples`.
 */
export const createDecayingMean = (
  clock: Clock,
  timeConstantMs: number,
  minSamples = 1,
): DecayingMean => {
  const minDecay = 1 - 1 / minSamples;
  let sum = 0;
  let weight = 0;
  let recordedAt = -Infinity;
  return {
    record: (value) => {
      const now = clock.now();
      const elapsedMs = now - recordedAt;
      const decay = Math.max(
        Math.exp(-elapsedMs / timeConstantMs),
        Math.min(minDecay, Math.exp(-elapsedMs / MAX_TIME_CONSTANT_MS)),
      );
      sum = sum * decay + value;
      weight = weight * decay + 1;
      recordedAt = now;
    },
    mean: () => (weight === 0 ? undefined : sum / weight),
    ageMs: () => clock.now() - recordedAt,
  };
};
