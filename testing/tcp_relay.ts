import { once } from 'node:events';
import {
  type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import { splitAddress } from '../http/mod.ts';

/** A TCP relay in front of a listener, which can fail in ways that a listener cannot. */
export interface TcpRelay {
  readonly address: string;
  /**
   * Ends as a killed process does: the system closes the connections in the regular way, and what
   * the process has not sent is lost.
   */
  readonly kill: () => void;
  /** Number of open connections on which the client waits for an answer. */
  readonly waiting: () => number;
  /** Makes open connections silent for good, all or those that wait; new ones work. */
  readonly silence: (which: 'all' | 'waiting') => void;
}

interface Link {
  readonly inner: Socket;
  readonly outer: Socket;
  isWaiting: boolean;
  isSilent: boolean;
}

/**
 * Starts a relay on a free loopback port.
 *
 * @param address Address of the listener.
 * @returns The relay.
 *
 * @example
 * const relay = await startTcpRelay('127.0.0.1:9000');
 */
export const startTcpRelay = async (address: string): Promise<TcpRelay> => {
  const { host, port } = splitAddress(address);
  const links = new Set<Link>();

  const server = createServer((inner) => {
    const outer = connect(port, host);
    const link: Link = {
      inner, outer, isWaiting: false, isSilent: false,
    };
    links.add(link);
    for (const [from, to] of [[inner, outer], [outer, inner]] as const) {
      from.setNoDelay(true).on('error', () => undefined);
      from.on('data', (data) => {
        if (link.isSilent) return;
        link.isWaiting = from === inner;
        to.write(data);
      });
      from.once('close', () => {
        if (link.isSilent) return;
        links.delete(link);
        to.destroy();
      });
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    kill: () => {
      server.close();
      for (const { inner, outer } of links) {
        for (const socket of [inner, outer]) socket.removeAllListeners('data').resume().end();
      }
    },
    waiting: () => [...links].filter(({ isWaiting, isSilent }) => isWaiting && !isSilent).length,
    silence: (which) => {
      for (const link of links) link.isSilent ||= which === 'all' || link.isWaiting;
    },
  };
};
