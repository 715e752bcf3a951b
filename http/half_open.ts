import type { Socket } from 'node:net';

const halfOpen = new WeakSet<Socket>();

/** Notes that the client has ended its side of a connection, and that its requests run on. */
export const noteHalfOpen = (socket: Socket): void => {
  halfOpen.add(socket);
};

/**
 * Returns whether the client has ended its side of a connection, but still gets the responses to
 * the requests that it has sent (see `keepsHalfOpen` of the server's options).
 *
 * @param socket The connection.
 * @returns Whether the connection is half open; true also once it has closed.
 *
 * @example
 * socket.once('end', () => {
 *   if (!isHalfOpen(socket)) controller.abort();
 * });
 */
export const isHalfOpen = (socket: Socket): boolean => halfOpen.has(socket);
