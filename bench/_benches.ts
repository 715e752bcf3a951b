import type { Bench } from './bench.ts';

/** Benchmarks by command-line name; a module is loaded only when its benchmark runs. */
export const benches: Readonly<Record<string, () => Promise<Bench>>> = {
  capacity: async () => (await import('./capacity.ts')).runCapacityBench,
  churn: async () => (await import('./churn.ts')).runChurnBench,
  configuration: async () => (
    await import('./configuration.ts')
  ).runConfigurationBench,
  path: async () => (await import('./path.ts')).runPathBench,
  'gateway-path': async () => (await import('./gateway_path.ts')).runGatewayPathBench,
  takeover: async () => (await import('./takeover.ts')).runTakeoverBench,
  'head-of-line': async () => (await import('./head_of_line.ts')).runHeadOfLineBench,
  crest: async () => (await import('./crest.ts')).runCrestBench,
  'range-planning': async () => (await import('./range_planning.ts')).runRangePlanningBench,
  imbalance: async () => (await import('./imbalance.ts')).runImbalanceBench,
};
