import { createRandom } from '../admission/_test_support.ts';
import { createVirtualClock, type VirtualClock } from '../bench/_virtual_clock.ts';
import type { RouteKind } from '../contract/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import { instance, member } from '../routing/_test_support.ts';
import {
  createSimulatedNode, type SimulatedNode, type SimulationContext, STATUS_FAILED,
} from './_simulated_node.ts';
import type { GatewayRequest, RequestSender } from './mod.ts';

/** A host of a simulated fleet, with one instance. */
export interface SimulatedHost {
  readonly failureDomain: string;
  readonly service: string;
  readonly slots: number;
  /** Factor on the processing time of the instance; it may change during a simulation. */
  slowness: number;
  readonly linkMbps: number;
  /** Packets from and to other failure domains are lost; it may change during a simulation. */
  isCutOff?: boolean;
  /** Responses to other nodes report no load; it may change during a simulation. */
  hidesLoad?: boolean;
  /** The instance refuses all requests at once, and looks healthy otherwise. */
  readonly shedsAll?: boolean;
}

/** A route of a simulated fleet. Times are in ms. */
export interface SimulatedRoute {
  readonly name: string;
  readonly service: string;
  readonly kind: RouteKind;
  readonly priority: number;
  readonly targetLatencyMs: number;
  readonly deadlineMs: number;
  readonly meanMs: number;
  readonly responseBytes: number;
  readonly requestBytes: number;
  /** All requests are for one key, which the first instance of the service owns. */
  readonly isKeyed?: boolean;
  /** Nested calls that a run makes after its own processing, with their probability. */
  readonly calls?: {
    readonly route: string;
    readonly times: number;
    readonly probability: number;
    readonly inParallel: boolean;
  };
}

/** Requests of one route, as seen by their callers. */
export interface RouteResult {
  asked: number;
  inTime: number;
  late: number;
  /** Attempts of callers or runs that were refused without having run. */
  refused: number;
  /** Failed after a run, for example since a nested call was refused. */
  failed: number;
  /** Attempts that a node refused after another one had forwarded them to it. */
  refusedByPeers: number;
  /** Attempts that an instance refused. */
  refusedByInstances: number;
  readonly durations: number[];
  /** Bytes of responses that crossed failure domains. */
  crossDomainBytes: number;
}

/** What traffic between the failure domains of a simulation costs. */
export interface SimulatedDomains {
  readonly oneWayMs: number;
  /** Price by which shares decide; without it, the rule by ratio does. */
  readonly costMsPerKilobyte?: number;
}

/** A running simulation. */
export interface SimulatedFleet {
  readonly clock: VirtualClock;
  /**
   * Sends requests of a route from random hosts at a rate per second for a time in ms. Refused
   * callers return up to `returns` times, none by default.
   */
  readonly load: (
    route: string,
    perSecond: (domain: string) => number,
    durationMs: number,
    returns?: number,
  ) => Promise<void>;
  readonly resultOf: (route: string) => RouteResult;
  readonly nodes: ReadonlyMap<string, SimulatedNode>;
}

/**
 * Creates a fleet of the modules that decide about requests (chooser, sender, slot queue), joined
 * by simulated links with a delay and a bandwidth.
 */
export const createSimulatedFleet = (
  hosts: readonly SimulatedHost[],
  routes: readonly SimulatedRoute[],
  seed: number,
  domains: SimulatedDomains = { oneWayMs: 0 },
): SimulatedFleet => {
  const clock = createVirtualClock();
  const random = createRandom(seed);
  const routeByName = new Map(routes.map((route) => [route.name, route]));
  const results = new Map(routes.map((route): [string, RouteResult] => [route.name, {
    asked: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    refusedByPeers: 0,
    refusedByInstances: 0,
    durations: [],
    crossDomainBytes: 0,
  }]));
  const nodes = new Map<string, SimulatedNode>();
  const members = hosts.map(({ failureDomain, service, slots }, index) => member(
    `n${index}`,
    [instance(`i-n${index}`, { service, slots })],
    failureDomain,
  ));

  const toRequest = (
    route: SimulatedRoute,
    parentDeadlineAt: number | undefined,
    firstAt: number,
  ): GatewayRequest => ({
    requestId: route.name,
    service: route.service,
    kind: route.kind,
    priority: route.priority,
    workClass: `${route.kind}/${route.priority}/${route.targetLatencyMs}`,
    key: route.isKeyed ? 0 : undefined,
    instance: undefined,
    method: 'GET',
    path: route.name,
    headers: [],
    body: null,
    isNestedCall: parentDeadlineAt !== undefined,
    deadlineAt: Math.min(firstAt + route.deadlineMs, parentDeadlineAt ?? Infinity),
    latencyTargetAt: firstAt + route.targetLatencyMs,
    isCallerRetry: firstAt < clock.now(),
    withheld: 0,
    signal: new AbortController().signal,
  });

  /** Exponential between half and full mean; the tail of the real distributions is not needed. */
  const draw = (mean: number) => mean * (0.5 + 0.5 * -Math.log(1 - random()));

  const runRequest = async (
    sender: RequestSender,
    route: SimulatedRoute,
    parentDeadlineAt?: number,
    firstAt = clock.now(),
  ): Promise<boolean | number> => {
    const result = results.get(route.name)!;
    const request = toRequest(route, parentDeadlineAt, firstAt);
    let status = 0;
    const sink: ResponseSink = {
      start: (received) => {
        status = received;
        return 'deliver';
      },
      write: () => true,
      onDrain: () => undefined,
      end: () => undefined,
    };
    if (firstAt === clock.now()) result.asked += 1;
    const outcome = sender.refuseEarly(request)
      ?? await sender.send({ ...request, isAdmitted: route.isKeyed }, 2, sink);
    const durationMs = clock.now() - firstAt;
    if (outcome.kind === 'refused' && outcome.refusal.outcome === 'not run') {
      result.refused += 1;
      return (outcome.refusal.retryAfterSeconds ?? 0) * 1000;
    }
    if (outcome.kind !== 'answered' || status >= STATUS_FAILED) {
      result.failed += 1;
      return false;
    }
    result.durations.push(durationMs);
    if (durationMs <= route.targetLatencyMs) result.inTime += 1;
    else if (clock.now() <= request.deadlineAt) result.late += 1;
    else result.failed += 1;
    return clock.now() <= request.deadlineAt;
  };

  /** Returns up to `returns` times, after the Retry-After but at most a third of the time left. */
  const runCaller = async (sender: RequestSender, route: SimulatedRoute, returns: number) => {
    const firstAt = clock.now();
    for (let left = returns; ; left -= 1) {
      const result = await runRequest(sender, route, undefined, firstAt);
      if (typeof result !== 'number' || left === 0) return;
      const leftMs = firstAt + route.deadlineMs - clock.now();
      await clock.sleep(Math.max(1, Math.min(result, leftMs / 3)));
    }
  };

  const runNested: SimulationContext['runNested'] = async (sender, { calls }, deadlineAt) => {
    if (calls === undefined || random() >= calls.probability) return true;
    const route = routeByName.get(calls.route)!;
    const callOnce = async () => await runRequest(sender, route, deadlineAt) === true;
    const count = Array.from({ length: calls.times });
    if (calls.inParallel) {
      return (await Promise.all(count.map(callOnce))).every((succeeded) => succeeded);
    }
    for (let index = 0; index < calls.times; index += 1) {
      if (!await callOnce()) return false;
    }
    return true;
  };

  const context: SimulationContext = {
    clock,
    random,
    hosts,
    domains,
    members,
    routeByName,
    nodes,
    draw,
    runNested,
    onCrossDomain: (route, bytes) => {
      results.get(route)!.crossDomainBytes += bytes;
    },
    onRefusal: (route, by) => {
      results.get(route)![by] += 1;
    },
  };
  for (const index of hosts.keys()) {
    nodes.set(`n${index}`, createSimulatedNode(index, context));
  }

  const callers = (domain: string) => (
    [...nodes.values()].filter(({ host }) => host.failureDomain === domain)
  );

  return {
    clock,
    load: async (name, perSecond, durationMs, returns = 0) => {
      const route = routeByName.get(name)!;
      const names = [...new Set(hosts.map(({ failureDomain }) => failureDomain))];
      await Promise.all(names.map(async (domain) => {
        const senders = callers(domain);
        const endAt = clock.now() + durationMs;
        for (;;) {
          await clock.sleep((-Math.log(1 - random()) * 1000) / perSecond(domain));
          if (clock.now() >= endAt) return;
          const { sender } = senders[Math.floor(random() * senders.length)]!;
          runCaller(sender, route, returns).catch((error: unknown) => {
            throw error;
          });
        }
      }));
    },
    resultOf: (name) => results.get(name)!,
    nodes,
  };
};
