/** A connection of a caller that a process accepted. */
export interface TracedConnection {
  /** Port of the caller. */
  readonly port: number;
  readonly bytesRead: number;
  /** Identifiers of the requests whose head was read. */
  readonly requests: readonly string[];
}

/** How far a request came at a process that left it without a byte of an answer. */
export type Reach = 'not accepted' | 'accepted, not read' | 'read' | 'not traced';

export const TRACE_NAME = 'connections of callers';

const readTrace = (log: string): readonly TracedConnection[] | undefined => {
  const line = log.split('\n').findLast((text) => text.includes(`"trace":"${TRACE_NAME}"`));
  if (line === undefined) return undefined;
  return (JSON.parse(line) as { readonly traced: readonly TracedConnection[] }).traced;
};

/**
 * Tells how far a request came by the trace that a process left at its exit.
 *
 * @param log Log of the process, with its trace.
 * @param request Identifier of the request, and port of its caller.
 * @returns Whether its connection was accepted and its head was read.
 *
 * @example
 * if (findReach(process.log(), sent) === 'read') findings.push(sent);
 */
export const findReach = (
  log: string,
  { id, port }: { readonly id: string; readonly port: number },
): Reach => {
  const traced = readTrace(log);
  if (traced === undefined) return 'not traced';
  if (traced.some(({ requests }) => requests.includes(id))) return 'read';
  return traced.some((connection) => connection.port === port)
    ? 'accepted, not read' : 'not accepted';
};
