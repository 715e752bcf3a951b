import { connect } from 'node:net';
import { splitAddress } from '../http/mod.ts';

const TIMEOUT_MS = 300;

/** Tells whether an address refuses connections, which means that no process listens there. */
export const isRefused = (address: string): Promise<boolean> => new Promise((resolve) => {
  const { host, port } = splitAddress(address);
  const socket = connect({ host, port });
  const finish = (refused: boolean) => {
    socket.destroy();
    resolve(refused);
  };
  socket.setTimeout(TIMEOUT_MS, () => finish(false));
  socket.once('connect', () => finish(false));
  socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
});
