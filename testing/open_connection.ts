import { connect, type Socket } from 'node:net';
import { splitAddress } from '../http/mod.ts';

/** A connection of a client that writes and reads bytes as they are. */
export interface RawConnection {
  readonly socket: Socket;
  /** Resolves when the connection has closed, also after an error. */
  readonly closed: Promise<unknown>;
  /** Returns all that was received, as Latin-1. */
  readonly received: () => string;
  /** Returns the message of the last error; empty without one. */
  readonly error: () => string;
}

/**
 * Opens a connection and collects what is received on it.
 *
 * @param address Address of the listener.
 * @returns The connection, which may still be opening.
 *
 * @example
 * const { socket, closed, received } = openConnection('127.0.0.1:9000');
 */
export const openConnection = (address: string): RawConnection => {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host);
  let received = '';
  let error = '';
  socket.on('error', ({ message }) => {
    error = message;
  });
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  const closed = new Promise<unknown>((resolve) => {
    socket.once('close', resolve);
  });
  return {
    socket, closed, received: () => received, error: () => error,
  };
};
