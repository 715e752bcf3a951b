/** One log line that belongs to a request. */
export interface RequestLine {
  readonly time: string;
  /** Node that wrote the line. */
  readonly host: string;
  readonly request: string;
  readonly sentence: string;
  /** Further fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the log lines tell of one request. */
export interface RequestExplanation {
  readonly request: string;
  readonly lines: readonly RequestLine[];
  /** Sentence that names the cause, or that the request was answered. */
  readonly cause: string;
}

/** Fields of every line that say nothing about a request. */
const COMMON_FIELDS = new Set([
  'name', 'hostname', 'pid', 'level', 'time', 'v', 'msg', 'node', 'request',
]);

const parseLine = (text: string): Readonly<Record<string, unknown>> | undefined => {
  // A collector may have put a time and a host before the line.
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
): RequestLine => ({
  time: String(line.time ?? ''),
  host: String(line.hostname ?? line.node ?? ''),
  request,
  sentence: String(line.msg ?? ''),
  fields: Object.fromEntries(Object.entries(line).filter(([name]) => !COMMON_FIELDS.has(name))),
});

/** Calls that an instance makes for a request carry its identifier before a dot. */
const belongsTo = (request: string, wanted: string) => (
  request === wanted || request.startsWith(`${wanted}.`)
);

const causeOf = (lines: readonly RequestLine[], wanted: string): string => {
  const own = lines.filter(({ request }) => request === wanted);
  const last = own.findLast(({ fields }) => 'revision' in fields) ?? own.at(-1);
  if (last === undefined) return 'no line names this request';
  const { outcome, reason, status } = last.fields;
  if (outcome === 'answered') return `answered with status ${String(status)}`;
  if (outcome === 'gone') return 'the caller closed its connection before the answer';
  return `${String(outcome)}: ${String(reason ?? last.sentence)}`;
};

/**
 * Orders the log lines of one request over all nodes and names the cause of its end.
 *
 * @param texts Log lines of any nodes, in any order.
 * @param request Identifier of the request.
 * @returns The lines of the request and of its calls, and the cause.
 *
 * @example
 * const { cause } = explainRequest(lines, '9c41d07be2a35f68');
 */
export const explainRequest = (
  texts: Iterable<string>,
  request: string,
): RequestExplanation => {
  const lines: RequestLine[] = [];
  for (const text of texts) {
    if (!text.includes(request)) continue;
    const line = parseLine(text);
    const id = typeof line?.request === 'string' ? line.request : '';
    if (line !== undefined && belongsTo(id, request)) lines.push(toRequestLine(line, id));
  }
  lines.sort((left, right) => (left.time < right.time ? -1 : Number(left.time > right.time)));
  return { request, lines, cause: causeOf(lines, request) };
};
