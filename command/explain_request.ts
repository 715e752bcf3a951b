/** One log line about a request or one of its subrequests. */
export interface RequestLogLine {
  readonly time: string;
  /** Node that wrote the line. */
  readonly host: string;
  readonly request: string;
  readonly sentence: string;
  /** Fields of the line other than those that every log line has. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Log lines of one request and the cause of its outcome. */
export interface RequestExplanation {
  readonly request: string;
  readonly lines: readonly RequestLogLine[];
  /** Reason for the outcome, or the response status if the request was answered. */
  readonly cause: string;
}

/** Fields that every log line has; they say nothing about a particular request. */
const COMMON_FIELDS = new Set([
  'name', 'hostname', 'pid', 'level', 'time', 'v', 'msg', 'node', 'request',
]);

const parseLogLine = (text: string): Readonly<Record<string, unknown>> | undefined => {
  // A log collector may prefix the line with a time and a host name.
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line: unknown = JSON.parse(text.slice(start));
    return typeof line === 'object' && line !== null
      ? line as Readonly<Record<string, unknown>>
      : undefined;
  } catch {
    return undefined;
  }
};

const toRequestLine = (
  line: Readonly<Record<string, unknown>>,
  request: string,
): RequestLogLine => ({
  time: String(line.time ?? ''),
  host: String(line.hostname ?? line.node ?? ''),
  request,
  sentence: String(line.msg ?? ''),
  fields: Object.fromEntries(Object.entries(line).filter(([name]) => !COMMON_FIELDS.has(name))),
});

/** The ID of a subrequest, a call that an instance makes for a request, is `REQUEST-ID.SUFFIX`. */
const matchesRequest = (id: string, requestId: string) => (
  id === requestId || id.startsWith(`${requestId}.`)
);

const findCause = (lines: readonly RequestLogLine[], requestId: string): string => {
  const ownLines = lines.filter(({ request }) => request === requestId);
  const last = ownLines.findLast(({ fields }) => 'revision' in fields) ?? ownLines.at(-1);
  if (last === undefined) return 'no log line found for this request';
  const { outcome, reason, status } = last.fields;
  if (outcome === 'answered') return `answered with status ${String(status)}`;
  if (outcome === 'gone') return 'the caller closed its connection before the answer';
  return `${String(outcome)}: ${String(reason ?? last.sentence)}`;
};

/**
 * Collects the log lines of one request from all nodes and finds the cause of its outcome.
 *
 * @param texts Log lines of any nodes, in any order; other lines are ignored.
 * @param request ID of the request.
 * @returns The lines of the request and of its subrequests in order of time, and the cause.
 *
 * @example
 * const { cause } = explainRequest(lines, '9c41d07be2a35f68');
 */
export const explainRequest = (
  texts: Iterable<string>,
  request: string,
): RequestExplanation => {
  const lines: RequestLogLine[] = [];
  for (const text of texts) {
    if (!text.includes(request)) continue;
    const line = parseLogLine(text);
    const id = typeof line?.request === 'string' ? line.request : '';
    if (line !== undefined && matchesRequest(id, request)) lines.push(toRequestLine(line, id));
  }
  lines.sort((left, right) => (left.time < right.time ? -1 : Number(left.time > right.time)));
  return { request, lines, cause: findCause(lines, request) };
};
