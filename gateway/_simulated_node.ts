import { createCallFailures, createEntranceGate } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import { createEgressLink, type EgressLink } from '../http/mod.ts';
import { createFakeMembership } from '../membership/mod.ts';
import type { MemberUpdate } from '../proto/mod.ts';
import { assignRanges, emptyRecord, KEY_COUNT } from '../ranges/mod.ts';
import {
  createRoundTripTimes, createServiceView, createSpillover, createTransferSizes, type ServiceView,
  type Spillover,
} from '../routing/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import type { SimulatedDomains, SimulatedHost, SimulatedRoute } from './_simulated_fleet.ts';
import { createSimulatedLink, type SimulatedLink } from './_simulated_link.ts';
import {
  type AttemptOutcome, createDemandMeter, createEntrance, createLocalForwarder, createRequestSender,
  createServiceRetryBudget, createSlotQueue, createTargetChooser, type GatewayRequest, isBulk,
  type LocalForwarder, MAX_BUFFERED_BYTES, type RequestSender,
} from './mod.ts';

/** The request path of one simulated host. */
export interface SimulatedNode {
  readonly host: SimulatedHost;
  readonly local: LocalForwarder;
  readonly sender: RequestSender;
  readonly link: SimulatedLink;
  readonly egress: EgressLink;
  readonly spillover: Spillover | undefined;
}

/** What the nodes of a simulation share. */
export interface SimulationContext {
  readonly clock: Clock;
  readonly random: () => number;
  readonly hosts: readonly SimulatedHost[];
  readonly domains: SimulatedDomains;
  readonly members: readonly MemberUpdate[];
  readonly routeByName: ReadonlyMap<string, SimulatedRoute>;
  readonly nodes: ReadonlyMap<string, SimulatedNode>;
  /** Draws a time or a size around its mean. */
  readonly draw: (mean: number) => number;
  /** Makes the nested calls of a run; resolves to false when one of them fails. */
  readonly runNested: (
    sender: RequestSender,
    route: SimulatedRoute,
    deadlineAt: number,
  ) => Promise<boolean>;
  readonly onCrossDomain: (route: string, bytes: number) => void;
  readonly onRefusal: (route: string, by: 'refusedByPeers' | 'refusedByInstances') => void;
}

/** Heads of requests and responses. */
const HEAD_BYTES = 500;
const CHUNK_BYTES = 16_384;
/** Time after which a connection into a partition fails. */
const CONNECT_TIMEOUT_MS = 300;
/** First status that counts as a failure of the instance. */
export const STATUS_FAILED = 500;

/** Sends a bulk response as the peer listener does; resolves when it has arrived. */
const sendBulk = ({ egress, link }: SimulatedNode, bytes: number) => (
  new Promise<void>((resolve) => {
    let arrived = Promise.resolve();
    const body = egress.openBulk({
      send: (chunk) => {
        arrived = link.transfer(chunk.length);
        return true;
      },
      finish: () => {
        arrived.then(resolve, resolve);
      },
      onRoom: () => undefined,
    });
    for (let left = bytes; left > 0; left -= CHUNK_BYTES) {
      body.write(Buffer.alloc(Math.min(left, CHUNK_BYTES)));
    }
    body.end();
  })
);

const createRecordOf = (node: string) => assignRanges(emptyRecord, [
  { from: 0, to: KEY_COUNT - 1, owner: { node, instance: `i-${node}`, startedAt: 1 } },
]);

/** Creates the node of one host. */
export const createSimulatedNode = (
  index: number,
  context: SimulationContext,
): SimulatedNode => {
  const {
    clock, random, hosts, domains, members, routeByName, nodes, runNested,
  } = context;
  const host = hosts[index]!;
  const name = `n${index}`;
  const link = createSimulatedLink(clock, host.linkMbps);
  const egress = createEgressLink({
    clock, megabitsPerSecond: host.linkMbps, maxBufferedBytes: MAX_BUFFERED_BYTES,
  });
  const { membership } = createFakeMembership(members, members[index]);
  const views = new Map<string, ServiceView>();
  const viewOf = (service: string) => {
    const known = views.get(service);
    if (known !== undefined) return known;
    const view = createServiceView(service, { clock, membership });
    views.set(service, view);
    return view;
  };
  const runAtInstance = async (
    request: GatewayRequest,
    sink: ResponseSink,
  ): Promise<AttemptOutcome> => {
    const route = routeByName.get(request.path)!;
    if (host.shedsAll) {
      context.onRefusal(route.name, 'refusedByInstances');
      return {
        ...refuseNotRun('the instance refused with 503', 100, { step: 'instance.send' }),
        reachedInstance: true,
      };
    }
    await clock.sleep(context.draw(route.meanMs) * host.slowness);
    const { sender } = nodes.get(name)!;
    const succeeded = await runNested(sender, route, request.deadlineAt);
    const status = succeeded ? 200 : STATUS_FAILED;
    const action = sink.start(status, []);
    let bytes = succeeded ? context.draw(route.responseBytes) : 0;
    while (action === 'deliver' && bytes > 0) {
      sink.write(Buffer.alloc(Math.min(CHUNK_BYTES, bytes)));
      bytes -= CHUNK_BYTES;
    }
    sink.end();
    return action === 'hold' ? { kind: 'failed', status } : { kind: 'answered', status };
  };
  const callFailures = createCallFailures(clock);
  const gate = createEntranceGate({ clock });
  const local = createLocalForwarder({
    clock,
    instance: () => ({
      instance: `i-${name}`,
      service: host.service,
      state: 'ready',
      acceptsUntil: Infinity,
      client: { send: runAtInstance, hasUnfinishedWork: () => false, close: () => undefined },
    }),
    keys: { mayServe: () => true, retryAfterMs: () => 100, record: () => undefined },
    queue: createSlotQueue({ clock, slots: () => host.slots, instance: () => `i-${name}` }),
    demand: createDemandMeter({ clock, random }),
    callFailures: callFailures.fraction,
    link: egress,
  });

  const roundTrips = createRoundTripTimes();
  const sizes = createTransferSizes();
  const spillover = domains.costMsPerKilobyte === undefined ? undefined : createSpillover({
    clock,
    ownDomain: host.failureDomain,
    costMsPerKilobyte: domains.costMsPerKilobyte,
    roundTrips,
    sizes,
    slotsOf: (service, domain) => hosts.reduce((sum, one) => (
      one.service === service && one.failureDomain === domain ? sum + one.slots : sum
    ), 0),
    logger: noopLogger,
  });

  const sendToPeer = async (address: string, request: GatewayRequest, sink: ResponseSink) => {
    const peer = nodes.get(address.split(':')[0]!)!;
    const route = routeByName.get(request.path)!;
    const domain = peer.host.failureDomain;
    const oneWayMs = domain === host.failureDomain ? 0 : domains.oneWayMs;
    if (domain !== host.failureDomain && (host.isCutOff || peer.host.isCutOff)) {
      await clock.sleep(CONNECT_TIMEOUT_MS);
      return { outcome: refuseNotRun('connect', 100, { step: 'peer.send' }), load: undefined };
    }
    const sentAt = clock.now();
    await link.transfer(HEAD_BYTES + route.requestBytes);
    await clock.sleep(oneWayMs);
    const arrivedAt = clock.now();
    let bytes = HEAD_BYTES;
    let status = 0;
    const outcome = await peer.local.forward(request, {
      ...sink,
      start: (received) => {
        status = received;
        return 'deliver';
      },
      write: (chunk) => {
        bytes += chunk.length;
        return true;
      },
    });
    const load = peer.host.hidesLoad ? undefined : peer.local.load();
    await clock.sleep(oneWayMs);
    roundTrips.record(domain, arrivedAt - sentAt + oneWayMs);
    sizes.record(request.kind, HEAD_BYTES + route.requestBytes + bytes);
    if (isBulk(request.kind)) await sendBulk(peer, bytes);
    else {
      peer.egress.count(bytes);
      await peer.link.transfer(bytes);
    }
    if (peer.host.failureDomain !== host.failureDomain) {
      context.onCrossDomain(route.name, bytes);
    }
    if (outcome.kind === 'refused' && !outcome.reachedInstance) {
      context.onRefusal(route.name, 'refusedByPeers');
    }
    if (outcome.kind !== 'answered') return { outcome, load };
    const action = sink.start(status, []);
    return {
      outcome: action === 'hold' ? { kind: 'failed' as const, status } : outcome, load,
    };
  };
  const budgetOf = (ratio: number, extraRetries: number, nodeCount: number) => (
    createServiceRetryBudget({
      clock, ratio, extraRetries, windowMs: 10_000, nodeCount: () => nodeCount,
    })
  );
  const sender = createRequestSender({
    clock,
    chooser: createTargetChooser({
      self: name,
      random,
      viewOf,
      spillover,
      recordOf: (service) => {
        const owner = hosts.findIndex((one) => one.service === service);
        return { record: createRecordOf(`n${owner}`), version: 1 };
      },
      nodeOf: (node) => ({ node, address: `${node}:2`, isSuspect: false }),
    }),
    local,
    peers: {
      send: sendToPeer,
      isSuspect: () => false,
      retain: () => undefined,
      close: async () => undefined,
    },
    retryBudget: budgetOf(0.2, 180, hosts.length),
    failoverBudget: budgetOf(2, 40, 1),
    logger: noopLogger,
    random,
    onLoad: gate.recordLoad,
  });
  const entrance = createEntrance({
    clock, sender, gate, callFailures,
  });
  return {
    host, local, sender: entrance, link, egress, spillover,
  };
};
