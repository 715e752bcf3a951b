import { uniformInt } from 'pure-rand/distribution/uniformInt';
import {
  apply, call, type Caller, contractWith, KEYS, operate,
} from './_callers.ts';
import type { PlantedFaults } from './_control_parts.ts';
import { faultEffects } from './_fault_effects.ts';
import {
  createRandom, createSchedule, type Fault, FAULT_PERIOD_MS,
} from './_faults.ts';
import { createHistoryCluster } from './_history_cluster.ts';
import type { History } from './history.ts';

/** Options of a run. */
export interface RunOptions {
  readonly seed: number;
  /** Faults instead of those that the seed gives. */
  readonly schedule?: readonly Fault[];
  /** Faults of the product, for tests of the checkers. */
  readonly planted?: PlantedFaults;
  /** Time in ms from the last fault to the end of the run. */
  readonly recoveryMs?: number;
}

/** A finished run. */
export interface Run {
  readonly nodes: readonly string[];
  readonly schedule: readonly Fault[];
  readonly history: History;
}

const MIN_NODES = 4;
const MAX_NODES = 6;
const START_INTERVAL_MS = 40;
const WARM_UP_MS = 7000;
/** Longer than a lost member takes to be found again, so that the end of each run is healthy. */
const RECOVERY_MS = 20_000;
/** The end of a run has no traffic, so that every request has ended. */
const QUIET_END_MS = 3000;
const STEP_MS = 20;
const REQUEST_PERIOD_MS = 20;
const OPERATOR_PERIOD_MS = 700;

/**
 * Runs a fleet of real node code over one fake clock, with callers, operators and faults.
 *
 * @param options Seed, and the faults to meet instead of those of the seed.
 * @returns The faults and everything that happened. Equal options give equal histories.
 *
 * @example
 * const { history } = await runHistory({ seed: 1 });
 * const violations = checkHistory(history);
 */
export const runHistory = async (options: RunOptions): Promise<Run> => {
  const { seed, planted = {}, recoveryMs = RECOVERY_MS } = options;
  const random = createRandom(seed);
  const below = (limit: number) => uniformInt(random, 0, limit - 1);
  const nodeCount = MIN_NODES + below(MAX_NODES - MIN_NODES + 1);
  const nodes = Array.from({ length: nodeCount }, (_, index) => `n${index}`);
  const checksGrants = below(2) === 0;
  const schedule = options.schedule ?? createSchedule(seed, nodes);
  const cluster = await createHistoryCluster({
    seed, nodes, checksGrants, keys: KEYS, planted,
  });
  const { base } = cluster;
  let sequence = 0;
  const caller: Caller = {
    cluster,
    below,
    planted,
    next: () => {
      sequence += 1;
      return sequence;
    },
  };

  const advance = async (durationMs: number) => {
    const endMs = base.now() + durationMs;
    while (base.now() < endMs) {
      await base.advance(STEP_MS);
      cluster.probe();
    }
  };

  for (const node of nodes) {
    cluster.start(node);
    await base.advance(START_INTERVAL_MS);
  }
  apply(cluster, nodes[0]!, 0, contractWith(1, checksGrants));
  await advance(WARM_UP_MS);

  const repeat = (periodMs: number, untilMs: number, task: () => void) => {
    if (base.now() >= untilMs) return;
    task();
    base.schedule(periodMs, () => repeat(periodMs, untilMs, task));
  };
  let activeMs = options.schedule === undefined ? FAULT_PERIOD_MS : 0;
  for (const { startMs, durationMs } of schedule) {
    activeMs = Math.max(activeMs, startMs + durationMs);
  }
  const trafficUntilMs = base.now() + activeMs + Math.max(0, recoveryMs - QUIET_END_MS);
  repeat(REQUEST_PERIOD_MS, trafficUntilMs, () => {
    call(caller);
  });
  repeat(OPERATOR_PERIOD_MS, trafficUntilMs, () => operate(caller, checksGrants));
  for (const fault of schedule) {
    base.schedule(fault.startMs, () => {
      const end = faultEffects[fault.kind](cluster, fault, nodes);
      base.schedule(fault.durationMs, end);
    });
  }
  await advance(activeMs + recoveryMs);
  cluster.record('end', { keys: KEYS });
  return { nodes, schedule, history: cluster.events };
};
