import type { SentRequest } from './_callers.ts';
import type { ProcessRecord } from './_starved_node.ts';
import { findReach } from './_traced_connections.ts';

/** What a round leaves for its check. */
export interface RoundRecord {
  readonly sent: readonly SentRequest[];
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
const MAX_TRACE_LINES = 30;
const END_LINES = [
  'connection ended with a request open', 'process ended with a request open', 'node: stopped"',
  'no longer accepting requests', 'the process is to end', 'process ends',
] as const;

const runsOf = ({ instances }: RoundRecord, id: string) => instances.map(
  (instance) => instance?.executionCounts.get(id) ?? 0,
);

/** Returns the process that ran when a request was sent, or the last one before. */
const processAt = (round: RoundRecord, { node, sentAt }: SentRequest) => (
  round.processes[node]!.findLast(({ startedAt }) => startedAt <= sentAt)
);

const sinceSignalMs = (round: RoundRecord, request: SentRequest) => {
  const signalledAt = processAt(round, request)?.signalledAt;
  return signalledAt === undefined ? undefined : Math.round(request.sentAt - signalledAt);
};

const linesOf = (
  { process }: ProcessRecord,
  isWanted: (line: string) => boolean,
  maxLines = MAX_TRACE_LINES,
) => process.log().split('\n').filter(isWanted).slice(-maxLines);

const traceOf = (round: RoundRecord, request: SentRequest): readonly string[] => {
  const { sentAt, endedAt, body } = request;
  const entrance = processAt(round, request);
  const named = round.processes.flat().flatMap((record) => (
    linesOf(record, (line) => line.includes(`"${request.id}"`))
  ));
  const ends = entrance === undefined ? [] : linesOf(entrance, (line) => (
    END_LINES.some((text) => line.includes(text)) && !named.includes(line)
  ));
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

const isWhole = ({ failure }: SentRequest) => failure === undefined;
const endedBeforeDeadline = ({ sentAt, endedAt, deadlineMs }: SentRequest) => (
  endedAt - sentAt < deadlineMs
);
const isNotRun = ({ status, body }: SentRequest) => (
  status !== 200 && body.includes('"outcome":"not run"')
);

const judge = (round: RoundRecord, request: SentRequest): Finding['what'] | undefined => {
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
    const trace = linesOf(record, (line) => END_LINES.some((text) => line.includes(text)));
    findings.push({
      what: 'unexpected end of a process', trace: [`status ${record.status}`, ...trace],
    });
  }
  return findings;
};

/** Counts the requests and stops of a round. */
export const countRound = (round: RoundRecord) => {
  const { sent, processes } = round;
  const count = (isCounted: (request: SentRequest) => boolean) => sent.filter(isCounted).length;
  const isRun = ({ id }: SentRequest) => runsOf(round, id).some((runs) => runs > 0);
  const isLate = (request: SentRequest) => (
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
    for (const line of linesOf(record, (text) => text.includes(END_LINES[0]), Infinity)) {
      const { listener, by, why } = JSON.parse(line) as Record<string, string>;
      const cause = `open end at ${listener}: ${by} ${why}`;
      counts.set(cause, (counts.get(cause) ?? 0) + 1);
    }
  }
  return counts;
};
