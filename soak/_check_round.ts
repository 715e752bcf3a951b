import type { NodeRequest } from './_callers.ts';
import type { ProcessRecord } from '../fleet/_test_starved_node.ts';
import {
  endLinesOf, linesOf, processAt as findProcess, requestLinesOf,
} from '../fleet/_test_stop_trace.ts';
import { findReach } from '../fleet/_test_traced_connections.ts';

/** What a round leaves for its check. */
export interface RoundRecord {
  readonly sent: readonly NodeRequest[];
  /** Processes of each node, in the order of their starts. */
  readonly processes: readonly (readonly ProcessRecord[])[];
  /** Instances at the index of their node, with the executions by request ID. */
  readonly instances: readonly ({
    readonly executionCounts: ReadonlyMap<string, number>;
  } | undefined)[];
}

/** A request without an answer that it should have had, or with a wrong one. */
export interface Finding {
  readonly what: 'ran without an answer' | 'closed without a byte' | 'ran, answered as not run'
    | 'ran more than once' | 'unexpected end of a process';
  /** Where and when, and the lines of the logs that concern it. */
  readonly trace: readonly string[];
}

/** The time after its signal at which a node no longer accepts all requests. */
const LATE_MS = 2800;
const REFUSED = 'ECONNREFUSED';
const OPEN_END = 'connection ended with a request open';

const runsOf = ({ instances }: RoundRecord, id: string) => instances.map(
  (instance) => instance?.executionCounts.get(id) ?? 0,
);

/** Returns the process that ran when a request was sent, or the last one before. */
const processAt = (round: RoundRecord, { node, sentAt }: NodeRequest) => (
  findProcess(round.processes[node]!, sentAt)
);

const sinceSignalMs = (round: RoundRecord, request: NodeRequest) => {
  const signalledAt = processAt(round, request)?.signalledAt;
  return signalledAt === undefined ? undefined : Math.round(request.sentAt - signalledAt);
};

const traceOf = (round: RoundRecord, request: NodeRequest): readonly string[] => {
  const { sentAt, endedAt, body } = request;
  const entrance = processAt(round, request);
  const named = requestLinesOf(round.processes.flat(), request.id);
  const ends = entrance === undefined
    ? [] : endLinesOf(entrance).filter((line) => !named.includes(line));
  return [
    JSON.stringify({
      ...request,
      body: body.slice(0, 100),
      tookMs: Math.round(endedAt - sentAt),
      sinceSignalMs: sinceSignalMs(round, request),
      beforeExitMs: entrance?.endedAt && Math.round(entrance.endedAt - endedAt),
      runs: runsOf(round, request.id),
      reach: entrance && findReach(entrance.process.log(), request),
    }),
    ...named,
    ...ends,
  ];
};

const isWhole = ({ failure }: NodeRequest) => failure === undefined;
const endedBeforeDeadline = ({ sentAt, endedAt, deadlineMs }: NodeRequest) => (
  endedAt - sentAt < deadlineMs
);
const isNotRun = ({ status, body }: NodeRequest) => (
  status !== 200 && body.includes('"outcome":"not run"')
);

const judge = (round: RoundRecord, request: NodeRequest): Finding['what'] | undefined => {
  const runs = runsOf(round, request.id).reduce((sum, count) => sum + count, 0);
  if (runs > 0 && isNotRun(request)) return 'ran, answered as not run';
  if (runs > 1 && request.path.startsWith('/orders/')) return 'ran more than once';
  // A caller that has left waited until after its deadline.
  if (isWhole(request) || request.failure === REFUSED || request.failure === 'left') {
    return undefined;
  }
  if (runs > 0 && endedBeforeDeadline(request)) return 'ran without an answer';
  return request.answerBytes === 0 && request.isConnected ? 'closed without a byte' : undefined;
};

const hasEndedAsAsked = ({ signalledAt, status }: ProcessRecord) => (
  status === undefined || (signalledAt !== undefined && status === 0)
);

/** Finds the requests and processes of a round that broke a rule. */
export const findFaults = (round: RoundRecord): readonly Finding[] => {
  const findings: Finding[] = [];
  for (const request of round.sent) {
    const what = judge(round, request);
    if (what !== undefined) findings.push({ what, trace: traceOf(round, request) });
  }
  for (const record of round.processes.flat()) {
    if (hasEndedAsAsked(record)) continue;
    findings.push({
      what: 'unexpected end of a process',
      trace: [`status ${record.status}`, ...endLinesOf(record)],
    });
  }
  return findings;
};

/** Counts the requests and stops of a round. */
export const countRound = (round: RoundRecord) => {
  const { sent, processes } = round;
  const count = (isCounted: (request: NodeRequest) => boolean) => sent.filter(isCounted).length;
  const isRun = ({ id }: NodeRequest) => runsOf(round, id).some((runs) => runs > 0);
  const isLate = (request: NodeRequest) => (
    (sinceSignalMs(round, request) ?? 0) > LATE_MS && request.failure !== REFUSED
  );
  const stopped = processes.flat().filter(({ signalledAt }) => signalledAt !== undefined);
  return {
    requests: sent.length,
    whole: count(isWhole),
    refusedConnections: count(({ failure }) => failure === REFUSED),
    // A refused connection was not read by the process.
    late: count(isLate),
    lateAnswered: count((request) => isLate(request) && request.status === 200),
    lateRun: count((request) => isLate(request) && isRun(request)),
    stops: stopped.length,
    msToExit: stopped.reduce((sum, { signalledAt, endedAt }) => (
      sum + Math.round((endedAt ?? signalledAt!) - signalledAt!)
    ), 0),
    exitsWithOpenRequests: stopped.filter(({ process }) => (
      process.log().includes('process ended with a request open')
    )).length,
    leftAfterDeadline: count(({ failure }) => failure === 'left'),
    ranAndLeft: count((request) => request.failure === 'left' && isRun(request)),
    ranThroughPeer: count(({ id, node }) => (
      runsOf(round, id).some((runs, index) => runs > 0 && index !== node)
    )),
    closedWithoutByte: count((request) => (
      !isWhole(request) && request.answerBytes === 0 && request.isConnected
      && request.failure !== REFUSED && request.failure !== 'left'
    )),
  };
};

/** Counts the ends of connections with requests open that the processes logged, by cause. */
export const countOpenEnds = ({ processes }: RoundRecord): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const record of processes.flat()) {
    for (const line of linesOf(record, (text) => text.includes(OPEN_END), Infinity)) {
      const { listener, by, why } = JSON.parse(line) as Record<string, string>;
      const cause = `open end at ${listener}: ${by} ${why}`;
      counts.set(cause, (counts.get(cause) ?? 0) + 1);
    }
  }
  return counts;
};
