import { uniformInt } from 'pure-rand/distribution/uniformInt';
import {
  applyConcurrentContracts, applyContract, createContractText, KEYS, sendCallerRequest,
  type WorkloadContext,
} from './_workload.ts';
import type { InjectedDefects } from './_control_plane.ts';
import { faultEffects } from './_fault_effects.ts';
import {
  createRandom, createFaultSchedule, type Fault, FAULT_WINDOW_MS,
} from './_faults.ts';
import { createSimulatedCluster } from './_simulated_cluster.ts';
import type { History } from './history.ts';

/** Options of a simulation. */
export interface SimulationOptions {
  readonly seed: number;
  /** Faults to inject instead of those that the seed determines. */
  readonly schedule?: readonly Fault[];
  /** Defects of the product code, for tests of the checkers. */
  readonly defects?: InjectedDefects;
  /** Time in ms from the last fault to the end of the run. */
  readonly recoveryMs?: number;
}

/** A finished simulation. */
export interface Simulation {
  readonly nodes: readonly string[];
  readonly schedule: readonly Fault[];
  readonly history: History;
}

const MIN_NODES = 4;
const MAX_NODES = 6;
const START_INTERVAL_MS = 40;
const WARM_UP_MS = 7000;
/** Longer than a lost member takes to rejoin, so that the fleet is healthy at the end. */
const RECOVERY_MS = 20_000;
/** Time without new requests at the end of a run, so that every request has ended. */
const IDLE_END_MS = 3000;
const STEP_MS = 20;
const REQUEST_PERIOD_MS = 20;
const OPERATOR_PERIOD_MS = 700;

/**
 * Simulates a fleet with the product's node code, callers, operators and faults on a fake clock.
 *
 * @param options Seed, and faults to inject instead of those that the seed determines.
 * @returns The injected faults and the history. Equal options give equal histories.
 *
 * @example
 * const { history } = await runHistory({ seed: 1 });
 * const violations = checkHistory(history);
 */
export const runSimulation = async (options: SimulationOptions): Promise<Simulation> => {
  const { seed, defects = {}, recoveryMs = RECOVERY_MS } = options;
  const random = createRandom(seed);
  const randomBelow = (limit: number) => uniformInt(random, 0, limit - 1);
  const nodeCount = MIN_NODES + randomBelow(MAX_NODES - MIN_NODES + 1);
  const nodes = Array.from({ length: nodeCount }, (_, index) => `n${index}`);
  const checksGrants = randomBelow(2) === 0;
  const schedule = options.schedule ?? createFaultSchedule(seed, nodes);
  const cluster = await createSimulatedCluster({
    seed, nodes, checksGrants, keys: KEYS, defects,
  });
  const { baseClock } = cluster;
  let sequence = 0;
  const context: WorkloadContext = {
    cluster,
    randomBelow,
    defects,
    nextNumber: () => {
      sequence += 1;
      return sequence;
    },
  };

  const advance = async (durationMs: number) => {
    const endMs = baseClock.now() + durationMs;
    while (baseClock.now() < endMs) {
      await baseClock.advance(STEP_MS);
      cluster.recordState();
    }
  };

  for (const node of nodes) {
    cluster.start(node);
    await baseClock.advance(START_INTERVAL_MS);
  }
  applyContract(cluster, nodes[0]!, 0, createContractText(1, checksGrants));
  await advance(WARM_UP_MS);

  const repeatUntil = (periodMs: number, untilMs: number, task: () => void) => {
    if (baseClock.now() >= untilMs) return;
    task();
    baseClock.schedule(periodMs, () => repeatUntil(periodMs, untilMs, task));
  };
  let activeMs = options.schedule === undefined ? FAULT_WINDOW_MS : 0;
  for (const { startMs, durationMs } of schedule) {
    activeMs = Math.max(activeMs, startMs + durationMs);
  }
  const trafficUntilMs = baseClock.now() + activeMs + Math.max(0, recoveryMs - IDLE_END_MS);
  repeatUntil(REQUEST_PERIOD_MS, trafficUntilMs, () => {
    sendCallerRequest(context);
  });
  repeatUntil(OPERATOR_PERIOD_MS, trafficUntilMs, () => (
    applyConcurrentContracts(context, checksGrants)
  ));
  for (const fault of schedule) {
    baseClock.schedule(fault.startMs, () => {
      const end = faultEffects[fault.kind](cluster, fault, nodes);
      baseClock.schedule(fault.durationMs, end);
    });
  }
  await advance(activeMs + recoveryMs);
  cluster.record('end', { keys: KEYS });
  return { nodes, schedule, history: cluster.events };
};
