import type { Socket } from 'node:net';
import type { EndedBy, NodeEndReason } from '../lifecycle/mod.ts';
import { isHalfOpen } from './half_open.ts';

/** Who ended a connection, and why. */
export interface EndCause {
  readonly by: EndedBy;
  readonly why: string;
}

const causes = new WeakMap<Socket, EndCause>();

/** Codes of errors that tell that the other side has closed or reset its connection. */
const CLIENT_CODES = new Set(['ECONNRESET', 'EPIPE', 'HPE_INVALID_EOF_STATE']);

/** Returns whether the client sent invalid input, or input too slowly, and is still there. */
export const isInputError = (code = ''): boolean => (
  code === 'ERR_HTTP_REQUEST_TIMEOUT'
  || (code.startsWith('HPE_') && code !== 'HPE_INVALID_EOF_STATE')
);

const note = (socket: Socket, cause: EndCause) => {
  // The first cause led to the others.
  if (!causes.has(socket)) causes.set(socket, cause);
};

/** Notes that the node ends a connection. */
export const noteEndReason = (socket: Socket, why: NodeEndReason): void => (
  note(socket, { by: 'node', why })
);

/** Notes an error of a connection. */
export const noteEndCause = (socket: Socket, error: NodeJS.ErrnoException): void => {
  const why = error.code ?? error.message;
  note(socket, { by: CLIENT_CODES.has(why) ? 'client' : 'unknown', why });
};

/** Returns who ended a connection that is closed, and why. */
export const findEndCause = (socket: Socket): EndCause => {
  const cause = causes.get(socket);
  if (cause !== undefined) return cause;
  // A client that has ended its side of a half-open connection still waits for its responses.
  return socket.readableEnded && !isHalfOpen(socket)
    ? { by: 'client', why: 'end' }
    : { by: 'unknown', why: '' };
};
