import { connect } from 'node:net';
import { splitAddress } from '../http/mod.ts';

const CONNECT_TIMEOUT_MS = 300;

/**
 * Reports whether an address refuses TCP connections, which means that no process listens there. A
 * timeout or any other error counts as not refused.
 */
export const isConnectionRefused = (address: string): Promise<boolean> => new Promise((resolve) => {
  const { host, port } = splitAddress(address);
  const socket = connect({ host, port });
  const finish = (refused: boolean) => {
    socket.destroy();
    resolve(refused);
  };
  socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
  socket.once('connect', () => finish(false));
  socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
});
