import type { SentRequest } from '../testing/send_request.ts';
import type { ProcessRecord } from './_test_starved_node.ts';
import { endLinesOf, processAt, requestLinesOf } from './_test_stop_trace.ts';
import { type Hop, kinds } from './_test_stop_ways.ts';
import { findReach } from './_test_traced_connections.ts';

/** A request around the stop of a node. */
export interface StopRequest {
  readonly kind: string;
  readonly connection: string;
  /** Index of the node that it was sent to. */
  readonly node: number;
  readonly sent: SentRequest;
}

/** What a way leaves for its check. */
export interface StopRecord {
  readonly hop: Hop;
  readonly requests: readonly StopRequest[];
  /** Monotonic time in ms of the SIGTERM. */
  readonly signalledAt: number;
  /** Processes of each node, in the order of their starts. */
  readonly processes: readonly (readonly ProcessRecord[])[];
  readonly runsOf: (id: string) => number;
}

/** Outcomes that the rule of a stop allows. */
export type Outcome = 'answered' | 'refused' | 'refused unread' | 'deadline' | 'last sixth';

/** Outcomes that break it. */
export type Fault = 'ran, answered as not run' | 'ran more than once' | 'wrong answer'
  | 'ran without an answer' | 'read without an answer';

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const INSTANCE_FAILURE = 500;
const OK = 200;
/** Timers of the caller and of the node differ by less. */
const DEADLINE_MARGIN_MS = 20;
/** A request that was sent until then may be cut in the last sixth of the grace time. */
const EXCUSED_SENT_MS = 3000;
const LAST_SIXTH_MS = 5000;

const isRightAnswer = ({ kind, sent }: StopRequest) => (
  sent.answerId === sent.id && sent.isSealed && sent.body.startsWith(`${sent.id} ran at `)
  && sent.bodyBytes >= (kinds[kind]?.responseBytes ?? 0)
);

const reachesOf = ({ processes }: StopRecord, { node, sent }: StopRequest) => (
  processes[node]!.map(({ process }) => findReach(process.log(), sent))
);

/** Whether no process of the node has read the request completely. */
const isUnread = (record: StopRecord, request: StopRequest) => (
  request.sent.failure === 'ECONNREFUSED'
  || request.sent.sentWholeAt > request.sent.endedAt
  || reachesOf(record, request).every((reach) => (
    reach === 'not accepted' || reach === 'accepted, not read'
  ))
);

/** Decides what became of a request. */
export const judge = (record: StopRecord, request: StopRequest): Outcome | Fault => {
  const { kind, sent } = request;
  const { status = 0 } = sent;
  const runs = record.runsOf(sent.id);
  const isWhole = sent.failure === undefined;
  if (runs > 0 && NOT_RUN_STATUSES.has(status)) return 'ran, answered as not run';
  if (runs > 1 && kinds[kind]?.isUnsafe === true) return 'ran more than once';
  if (isWhole && status === OK) {
    return runs > 0 && isRightAnswer(request) ? 'answered' : 'wrong answer';
  }
  if (isWhole && status === INSTANCE_FAILURE && kinds[kind]?.hasCall === true) {
    return runs > 0 && isRightAnswer(request) ? 'answered' : 'wrong answer';
  }
  if (isWhole && NOT_RUN_STATUSES.has(status)) {
    return sent.body.includes('"outcome":"not run"') ? 'refused' : 'wrong answer';
  }
  if (sent.endedAt - sent.sentAt >= sent.deadlineMs - DEADLINE_MARGIN_MS) return 'deadline';
  const isExcused = sent.sentAt <= record.signalledAt + EXCUSED_SENT_MS
    && sent.endedAt >= record.signalledAt + LAST_SIXTH_MS;
  if (runs > 0) return isExcused ? 'last sixth' : 'ran without an answer';
  if (isWhole) return 'wrong answer';
  return isUnread(record, request) ? 'refused unread' : 'read without an answer';
};

const allowed: ReadonlySet<string> = new Set<Outcome>([
  'answered', 'refused', 'refused unread', 'deadline', 'last sixth',
]);

/** Whether an outcome breaks the rule. */
export const isFault = (outcome: Outcome | Fault): outcome is Fault => !allowed.has(outcome);

/**
 * Whether the client of a request ended its side of a connection to a process that was started
 * after the stop, which does not know of the signal to the one before.
 */
export const isHalfClosedAtNext = (record: StopRecord, request: StopRequest): boolean => (
  request.connection === 'half-closed'
  && reachesOf(record, request).findIndex((reach) => reach === 'read') > 0
);

/** Describes a request with the lines of the logs that concern it. */
export const traceRequest = (record: StopRecord, request: StopRequest): readonly string[] => {
  const { sent, node } = request;
  const entrance = processAt(record.processes[node]!, sent.sentAt);
  const all = record.processes.flat();
  const named = requestLinesOf(all, sent.id);
  const stopped = record.hop.stopped.flatMap((index) => record.processes[index]!);
  return [
    JSON.stringify({
      kind: request.kind,
      connection: request.connection,
      node,
      ...sent,
      afterSignalMs: Math.round(sent.sentAt - record.signalledAt),
      endedAfterSignalMs: Math.round(sent.endedAt - record.signalledAt),
      process: entrance === undefined ? undefined : record.processes[node]!.indexOf(entrance),
      processEndsMs: record.processes[node]!.map(({ endedAt }) => (
        endedAt === undefined ? undefined : Math.round(endedAt - record.signalledAt)
      )),
      runs: record.runsOf(sent.id),
      reaches: reachesOf(record, request),
    }),
    ...named,
    ...stopped.flatMap(endLinesOf).filter((line) => !named.includes(line)),
  ];
};
