import type { IncomingMessage } from 'node:http';

/** Why the node ends a connection. */
export type NodeEndReason = | 'idle after the stop'
  | 'input without a request'
  | 'after the last response'
  | 'invalid input'
  | 'too much invalid input'
  | 'response cut'
  | 'killed';

/** Who ended a connection. `unknown`: neither side was seen to end it. */
export type EndedBy = 'node' | 'client' | 'unknown';

/** The end of a connection that had requests without a complete response. */
export interface OpenConnectionEnd {
  readonly by: EndedBy;
  /** Reason of the node, or the error of the connection. */
  readonly why: string;
  /** Requests whose head was read and whose response was not handed over completely. */
  readonly requests: readonly IncomingMessage[];
}

/** What a listener asks before it ends a connection, and reports once one has ended. */
export interface ConnectionEnds {
  /** Counts a request whose head was read as open until the returned function is called. */
  readonly openRequest: () => () => void;
  /** Returns whether the node may end a connection with this number of open requests. */
  readonly mayEnd: (reason: NodeEndReason, openRequests: number) => boolean;
  /** Records the end of a connection with requests open. */
  readonly recordEnd: (end: OpenConnectionEnd) => void;
}

const always = () => true;
const withoutRequests = (openRequests: number) => openRequests === 0;

/**
 * Ends with requests open are left to those in which no response can follow: the client has broken
 * the protocol, a part of a response was sent whose rest is lost, or the process simulates a crash.
 */
const rules: Readonly<Record<NodeEndReason, (openRequests: number) => boolean>> = {
  'idle after the stop': withoutRequests,
  'input without a request': withoutRequests,
  'after the last response': withoutRequests,
  'invalid input': always,
  'too much invalid input': always,
  'response cut': always,
  killed: always,
};

/**
 * Returns whether the node may end a connection.
 *
 * @param reason Why the node would end it.
 * @param openRequests Requests of the connection without a complete response.
 * @returns Whether the end takes no response with it that could still be sent.
 *
 * @example
 * if (mayEndConnection('idle after the stop', responses.size)) socket.destroy();
 */
export const mayEndConnection = (reason: NodeEndReason, openRequests: number): boolean => (
  rules[reason](openRequests)
);

/** Ends of a listener that belongs to no process of its own: decided alike, and not recorded. */
export const unrecordedEnds: ConnectionEnds = {
  openRequest: () => () => undefined,
  mayEnd: mayEndConnection,
  recordEnd: () => undefined,
};
