import type { RestartOptions } from '../fleet/_test_starved_node.ts';
import type { Random } from '../testing/create_random.ts';

/** What one node and its instance do in a round. */
export interface NodePlan {
  /** Time in ms of a request at the instance; undefined if the node has no instance. */
  readonly workMs: number | undefined;
  readonly responseBytes: number;
  /** Time in ms until the process is suspended first. */
  readonly suspendAfterMs: number;
}

/** A stop of a node by SIGTERM, with a restart after its exit. */
export interface StopPlan extends RestartOptions {
  readonly node: number;
  /** Time in ms from the start of the load. */
  readonly atMs: number;
}

/** A round: nodes, stops and the interval of changes of the contract in ms. */
export interface RoundPlan {
  readonly nodes: readonly NodePlan[];
  readonly stops: readonly StopPlan[];
  readonly publishIntervalMs: number;
}

const MIN_NODES = 3;
const MAX_NODES = 5;
const WORK_MS = [20, 150, 500, 1200, 2500] as const;
const RESPONSE_BYTES = [0, 0, 200_000] as const;
const FIRST_STOP_MS = 700;
const STOP_SPREAD_MS = 1200;
const GRACE_MS = 6000;
const MAX_RESTART_DELAY_MS = 300;
const MIN_PUBLISH_INTERVAL_MS = 250;
const PUBLISH_SPREAD_MS = 400;
const STARVED_PERIOD_MS = 100;

/**
 * Plans a round: the stops are of a node that passes requests on, of one that serves them, or both.
 *
 * @param random Random source of the round.
 * @returns The plan.
 */
export const planRound = (random: Random): RoundPlan => {
  const nodeCount = MIN_NODES + random(1 + MAX_NODES - MIN_NODES);
  // Node 0 has no instance, so all its requests pass a peer.
  const nodes = Array.from({ length: nodeCount }, (_, index): NodePlan => ({
    workMs: index === 0 ? undefined : WORK_MS[random(WORK_MS.length)],
    responseBytes: RESPONSE_BYTES[random(RESPONSE_BYTES.length)]!,
    suspendAfterMs: random(STARVED_PERIOD_MS),
  }));
  const serving = 1 + random(nodeCount - 1);
  const stopped = [[0], [serving], [0, serving]][random(3)]!;
  const stops = stopped.map((node): StopPlan => ({
    node,
    atMs: FIRST_STOP_MS + random(STOP_SPREAD_MS),
    repeatAfterMs: random(2) === 0 ? random(GRACE_MS) : undefined,
    restartAfterMs: random(MAX_RESTART_DELAY_MS),
  }));
  return {
    nodes, stops, publishIntervalMs: MIN_PUBLISH_INTERVAL_MS + random(PUBLISH_SPREAD_MS),
  };
};
