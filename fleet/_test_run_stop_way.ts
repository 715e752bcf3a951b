import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { type PlatformInstance, type RunRequest, startPlatformInstance } from '../standins/mod.ts';
import { createRandom } from '../testing/create_random.ts';
import { loopbackHost } from '../testing/loopback_host.ts';
import { send, type SendOptions } from '../testing/send_request.ts';
import {
  type Fault, isFault, isHalfClosedAtNext, judge, type Outcome, type StopRecord,
  type StopRequest, traceRequest,
} from './_test_judge_stop.ts';
import { startLoopbackFleet } from './_test_loopback_fleet.ts';
import type { TestProgram } from './_test_program.ts';
import { type StarvedNode, startStarvedNode } from './_test_starved_node.ts';
import { endLinesOf } from './_test_stop_trace.ts';
import {
  type Beside, besides, CALL_PREFIX, DOWNLOAD_PREFIX, type Hop, hops, kinds,
  type PlannedRequest, planRequest, planWork, responseBytesOf, TIMEOUT_MS, WINDOW_MS, workOf,
} from './_test_stop_ways.ts';

/** Options of {@link runStopWay}. */
export interface StopWayOptions {
  readonly program: TestProgram;
  /** Seed of the requests and of the times of events; those of processes vary. */
  readonly seed: number;
}

/** A request, or the end of a process, that breaks the rule. */
export interface StopFinding {
  /** Whether a process after the stopped one gave up a request of a half-closed connection. */
  readonly isHalfClosedAtNext: boolean;
  readonly trace: string;
}

/** Outcome of a way. */
export interface StopWayResult {
  readonly counts: ReadonlyMap<string, number>;
  /** Kinds of requests that were answered by an instance. */
  readonly answered: ReadonlySet<string>;
  readonly findings: readonly StopFinding[];
}

/** The first draws of neighbouring seeds are alike. */
const SKIPPED_DRAWS = 20;
const SEND_INTERVAL_MS = 20;
const SLOTS = 150;
const RESTART_DELAY_MS = 700;
const WARM_UP_LIMIT_MS = 20_000;
const POLL_MS = 50;
/** Calls on one connection, so that it is known for calls. */
const WARM_CALLS = 20;
const BODY_PARTS = ['first part,', 'second part,', 'last part'] as const;
/** A run that is begun after its caller's answer would be counted until then. */
const SETTLE_MS = 300;
const STARVED_PERIOD_MS = 100;
const FIRST_ADDRESS = 100;
const MAX_NODES = 3;

/** Returns a loopback address of this process alone, as the ports of a node process are fixed. */
const hostOf = (way: number, node: number) => loopbackHost(FIRST_ADDRESS + MAX_NODES * way + node);

const hopNames = Object.keys(hops);
const besideNames = Object.keys(besides);

const startNodes = (
  { services, stopped }: Hop,
  beside: Beside,
  { way, store, program }: {
    readonly way: number; readonly store: string; readonly program: TestProgram;
  },
) => (
  Promise.all(services.map((service, index) => startStarvedNode({
    name: `host-${index}`,
    failureDomain: `d${index}`,
    service,
    host: hostOf(way, index),
    storeAddress: store,
    isStartSpared: true,
    programArguments: program.programArguments,
    runtimeArguments: (stopped.includes(index) ? beside.runtimeArguments : undefined)
      ?? program.runtimeArguments,
  })))
);

const optionsOf = (
  {
    id, path, kind, connection, deadlineMs, partDelayMs, key,
  }: PlannedRequest,
  agent: Agent,
): SendOptions => {
  const { method, body, isKeyed } = kinds[kind]!;
  return {
    id,
    path,
    deadlineMs,
    method,
    partDelayMs,
    headers: {
      ...(isKeyed === true ? { 'shard-key': String(key) } : {}),
      ...(body === 'with a length' ? { 'content-length': String(BODY_PARTS.join('').length) } : {}),
    },
    ...(body === undefined ? {} : { bodyParts: BODY_PARTS }),
    isHalfClosed: connection === 'half-closed',
    ...(connection === 'kept' ? { agent } : {}),
  };
};

/** Sends requests of each kind until all are answered. */
const warmUp = async (
  address: string,
  hop: Hop,
  sendPlanned: (planned: PlannedRequest) => Promise<StopRequest>,
) => {
  const endsAt = performance.now() + WARM_UP_LIMIT_MS;
  let count = 0;
  let lastRefusal = '';
  const isAnswered = async (kind: string) => {
    count += 1;
    const id = `warm-${count}`;
    const { sent } = await sendPlanned({
      ...planRequest(() => 0, id, hop), kind, path: `${kinds[kind]!.prefix}w5/${id}`,
    });
    if (sent.status !== 200) lastRefusal = `${sent.status} ${sent.failure} ${sent.body}`;
    return sent.status === 200;
  };
  for (const kind of Object.keys(kinds)) {
    while (!await isAnswered(kind)) {
      if (performance.now() > endsAt) {
        throw new Error(`${address} does not serve ${kind}: ${lastRefusal}`);
      }
      await sleep(POLL_MS);
    }
  }
  for (let calls = 0; calls < WARM_CALLS; calls += 1) await isAnswered('nested');
};

const findEnds = ({ processes, hop }: StopRecord, { status = 0 }: Beside) => {
  const findings: StopFinding[] = [];
  for (const [node, records] of processes.entries()) {
    for (const [index, record] of records.entries()) {
      const isLast = index === records.length - 1;
      const expected = hop.stopped.includes(node) && !isLast ? status : undefined;
      if (record.endedAt !== undefined && record.status !== expected) {
        const trace = [
          `unexpected end of process ${index} of node ${node}: status ${record.status}`,
          ...endLinesOf(record),
        ].join('\n');
        findings.push({ isHalfClosedAtNext: false, trace });
      }
    }
  }
  return findings;
};

const stopBeside = async (
  node: StarvedNode,
  beside: Beside,
  random: (limit: number) => number,
) => {
  const { process } = node.processes.at(-1)!;
  if (beside.suspendedMs !== undefined) node.starve(random(STARVED_PERIOD_MS), beside.suspendedMs);
  const actAfterMs = random(beside.actsWithinMs ?? 1);
  const restarting = node.restart({ restartAfterMs: RESTART_DELAY_MS });
  await sleep(actAfterMs);
  await beside.act?.(process, node);
  await restarting;
};

/**
 * Runs one way of a stop: a node gets a SIGTERM under load and is restarted, and each request is
 * judged.
 *
 * @param hopName How the requests reach their instance.
 * @param besideName What happens beside the stop.
 * @param options Program of the nodes, and seed.
 * @returns The number of requests by outcome, and the findings.
 *
 * @example
 * const { findings } = await runStopWay('local', 'a reload', { program, seed: 1 });
 */
export const runStopWay = async (
  hopName: string,
  besideName: string,
  { program, seed }: StopWayOptions,
): Promise<StopWayResult> => {
  const hop = hops[hopName]!;
  const beside = besides[besideName]!;
  const way = hopNames.indexOf(hopName) * besideNames.length + besideNames.indexOf(besideName);
  const random = createRandom(seed * hopNames.length * besideNames.length + way);
  for (let draws = 0; draws < SKIPPED_DRAWS; draws += 1) random(2);
  const fleet = await startLoopbackFleet([], { timeoutMs: TIMEOUT_MS });
  const agent = new Agent({ keepAlive: true });
  const callAgent = new Agent({ keepAlive: true });
  const instances: PlatformInstance[] = [];
  const nodes: StarvedNode[] = [];
  try {
    await fleet.publish(2, DOWNLOAD_PREFIX, 'download');
    nodes.push(...await startNodes(hop, beside, {
      way, store: fleet.server.address, program,
    }));
    const { caller } = nodes[0]!.listeners;
    const calls: Promise<StopRequest>[] = [];
    const callFrom = async (node: number, { id, path, endsAt }: RunRequest) => {
      if (!path.startsWith(kinds.nested!.prefix)) return true;
      const callId = `${id}-call-${calls.length}`;
      const call = send(nodes[node]!.listeners.caller, {
        id: callId,
        path: `${CALL_PREFIX}w5/${callId}`,
        deadlineMs: Math.max(1, Math.floor(endsAt - performance.now())),
        agent: callAgent,
      }).then((sent): StopRequest => ({
        kind: 'call', connection: 'kept', node, sent,
      }));
      calls.push(call);
      return (await call).sent.status === 200;
    };
    for (const [index, service] of hop.services.entries()) {
      if (service !== '') {
        instances.push(await startPlatformInstance({
          service,
          announceAddress: nodes[index]!.listeners.announcements,
          slots: SLOTS,
          workMs: workOf,
          responseBytes: responseBytesOf,
          makeCalls: (run) => callFrom(index, run),
        }));
      }
    }
    const sendPlanned = async (planned: PlannedRequest): Promise<StopRequest> => ({
      kind: planned.kind,
      connection: planned.connection,
      node: 0,
      sent: await send(caller, optionsOf(planned, agent)),
    });
    await warmUp(caller, hop, sendPlanned);
    calls.length = 0;
    const work = planWork(random);
    const signalledAt = performance.now();
    const stopping = Promise.all(hop.stopped.map((index) => (
      stopBeside(nodes[index]!, beside, random)
    )));
    const requests: Promise<StopRequest>[] = [];
    for (let afterMs = 0; afterMs < WINDOW_MS; afterMs += SEND_INTERVAL_MS) {
      await sleep(Math.max(0, signalledAt + afterMs - performance.now()));
      // A busy machine delays requests, which must not be sent after the window.
      if (performance.now() - signalledAt >= WINDOW_MS) break;
      requests.push(sendPlanned(planRequest(random, `w${way}-${requests.length}`, hop, {
        work, afterMs,
      })));
    }
    await stopping;
    const sent = await Promise.all(requests);
    sent.push(...await Promise.all(calls));
    await sleep(SETTLE_MS);
    const record: StopRecord = {
      hop,
      requests: sent,
      signalledAt,
      processes: nodes.map(({ processes }) => processes),
      runsOf: (id) => instances.reduce((sum, { executionCounts }) => (
        sum + (executionCounts.get(id) ?? 0)
      ), 0),
    };
    const findings = [...findEnds(record, beside)];
    await Promise.all(nodes.map((node) => node.end()));
    const counts = new Map<string, number>();
    const answered = new Set<string>();
    for (const request of sent) {
      const outcome: Outcome | Fault = judge(record, request);
      counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
      if (outcome === 'answered') answered.add(request.kind);
      if (isFault(outcome)) {
        const trace = [
          `${outcome}: ${hopName}, beside ${besideName}, seed ${seed}`,
          ...traceRequest(record, request),
        ].join('\n');
        findings.push({ isHalfClosedAtNext: isHalfClosedAtNext(record, request), trace });
      }
    }
    return { counts, answered, findings };
  } finally {
    agent.destroy();
    callAgent.destroy();
    for (const instance of instances) instance.kill();
    await Promise.all(nodes.map((node) => node.kill()));
    await fleet.stop();
  }
};
