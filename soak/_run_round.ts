import { setTimeout as sleep } from 'node:timers/promises';
import { startLoopbackFleet } from '../fleet/_test_loopback_fleet.ts';
import { type PlatformInstance, startPlatformInstance } from '../standins/mod.ts';
import { createRandom } from '../testing/create_random.ts';
import { loopbackHost } from '../testing/loopback_host.ts';
import { callUntil, send } from './_callers.ts';
import {
  countOpenEnds, countRound, type Finding, findFaults, type RoundRecord,
} from './_check_round.ts';
import { planRound, type RoundPlan, type StopPlan } from './_plan.ts';
import { type StarvedNode, startStarvedNode } from '../fleet/_test_starved_node.ts';

/** Outcome of a round. */
export interface RoundResult {
  readonly plan: RoundPlan;
  readonly counts: ReturnType<typeof countRound>;
  readonly openEnds: ReturnType<typeof countOpenEnds>;
  readonly findings: readonly Finding[];
}

/** Options of {@link runRound}. */
export interface RoundOptions {
  /** How often the stops of the plan are run, one after the other; once by default. */
  readonly series?: number;
  /** Time in ms of each 100 ms for which each process is suspended; 50 by default. */
  readonly suspendedMs?: number;
}

const DEFAULT_SUSPENDED_MS = 50;
const ROUTE_TIMEOUT_MS = 3000;
const SLOTS = 30;
const SEND_INTERVAL_MS = 25;
const WARM_UP_LIMIT_MS = 10_000;
const POLL_MS = 50;
/** Requests that go to the new process of each stopped node. */
const AFTER_RESTART_MS = 300;

/** Returns a loopback address of this process alone, as the ports of a node process are fixed. */
const hostOf = (node: number) => loopbackHost(20 + node);

/** Publishes one more route at each interval, safe ones and downloads by turns. */
const publishUntil = async (
  publish: (version: number, prefix: string, kind: 'safe' | 'download') => Promise<void>,
  { intervalMs, signal, onPublished }: {
    readonly intervalMs: number;
    readonly signal: AbortSignal;
    readonly onPublished: (prefix: string) => void;
  },
) => {
  for (let version = 2; !signal.aborted; version += 1) {
    const prefix = `/new-${version}/`;
    await publish(version, prefix, version % 2 === 0 ? 'safe' : 'download');
    onPublished(prefix);
    await sleep(intervalMs);
  }
};

const warmUp = async (nodes: readonly StarvedNode[]) => {
  const endsAt = performance.now() + WARM_UP_LIMIT_MS;
  for (const [node, { listeners }] of nodes.entries()) {
    const options = { node, path: '/reads/first', deadlineMs: ROUTE_TIMEOUT_MS };
    while ((await send(listeners.caller, options)).status !== 200) {
      if (performance.now() > endsAt) throw new Error(`node ${node} answers no request`);
      await sleep(POLL_MS);
    }
  }
};

/**
 * Runs one round: starved nodes are stopped and restarted under load while routes are added.
 *
 * @param seed Seed of the plan and of the requests; times of processes vary between runs.
 * @param options Number of series of stops, and the degree of starvation.
 * @returns The plan, the counts and the requests that broke a rule.
 *
 * @example
 * const { findings } = await runRound(1);
 */
export const runRound = async (
  seed: number,
  { series = 1, suspendedMs = DEFAULT_SUSPENDED_MS }: RoundOptions = {},
): Promise<RoundResult> => {
  const random = createRandom(seed);
  const plan = planRound(random);
  const fleet = await startLoopbackFleet([], { timeoutMs: ROUTE_TIMEOUT_MS });
  const nodes: StarvedNode[] = [];
  const instances: (PlatformInstance | undefined)[] = [];
  const loadEnd = new AbortController();
  const { signal } = loadEnd;
  try {
    nodes.push(...await Promise.all(plan.nodes.map((_, index) => startStarvedNode({
      name: `host-${index}`,
      failureDomain: `d${index % 2}`,
      host: hostOf(index),
      storeAddress: fleet.server.address,
    }))));
    for (const [index, { workMs, responseBytes }] of plan.nodes.entries()) {
      instances.push(workMs === undefined ? undefined : await startPlatformInstance({
        service: 'orders',
        announceAddress: nodes[index]!.listeners.announcements,
        slots: SLOTS,
        workMs,
        responseBytes,
      }));
    }
    await warmUp(nodes);
    let newestPrefix = '/reads/';
    for (const [index, node] of nodes.entries()) {
      node.starve(plan.nodes[index]!.suspendAfterMs, suspendedMs);
    }
    const publishing = publishUntil(fleet.publish, {
      intervalMs: plan.publishIntervalMs,
      signal,
      onPublished: (prefix) => {
        newestPrefix = prefix;
      },
    });
    const calling = nodes.map(({ listeners }, node) => callUntil({
      node,
      address: listeners.caller,
      random: createRandom(seed * 100 + node),
      intervalMs: SEND_INTERVAL_MS,
      newestPrefix: () => newestPrefix,
      signal,
    }));
    const runStops = async (stop: StopPlan) => {
      for (let count = 0; count < series; count += 1) {
        await sleep(stop.atMs);
        await nodes[stop.node]!.restart(stop);
      }
    };
    await Promise.all(plan.stops.map(runStops));
    await sleep(AFTER_RESTART_MS);
    loadEnd.abort();
    const sent = (await Promise.all(calling)).flat();
    await publishing;
    const round: RoundRecord = {
      sent, instances, processes: nodes.map(({ processes }) => processes),
    };
    return {
      plan,
      counts: countRound(round),
      openEnds: countOpenEnds(round),
      findings: findFaults(round),
    };
  } finally {
    loadEnd.abort();
    await Promise.all(nodes.map((node) => node.kill()));
    for (const instance of instances) instance?.kill();
    await fleet.stop();
  }
};
