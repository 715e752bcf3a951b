import type { Bench } from './bench.ts';

/** Measurements by name; each module is loaded only when it is run. */
export const benches: Readonly<Record<string, () => Promise<Bench>>> = {
  capacity: async () => (await import('./capacity.ts')).runCapacityBench,
  churn: async () => (await import('./churn.ts')).runChurnBench,
  configuration: async () => (
    await import('./configuration.ts')
  ).runConfigurationBench,
  path: async () => (await import('./path.ts')).runPathBench,
  takeover: async () => (await import('./takeover.ts')).runTakeoverBench,
  'head-of-line': async () => (await import('./head_of_line.ts')).headOfLine,
  crest: async () => (await import('./crest.ts')).crest,
  imbalance: async () => (await import('./imbalance.ts')).imbalance,
};
