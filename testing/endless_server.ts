import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A server whose answers have no end. */
export interface EndlessServer {
  /** Host and port. */
  readonly address: string;
  readonly openConnections: () => number;
  readonly close: () => void;
}

const CHUNK = Buffer.from(`8000\r\n${'x'.repeat(32_768)}\r\n`);
const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const SAMPLE_INTERVAL_MS = 5;

/**
 * Starts a server that answers each request with a body in chunks, as fast as it is read, until the
 * client closes the connection.
 *
 * @returns The server, once it listens.
 *
 * @example
 * const server = await startEndlessServer();
 */
export const startEndlessServer = async (): Promise<EndlessServer> => {
  const sockets = new Set<Socket>();
  const server = await new Promise<Server>((resolve) => {
    const started = createServer((socket) => {
      sockets.add(socket);
      const write = () => {
        while (!socket.destroyed && socket.write(CHUNK));
      };
      socket.on('error', () => undefined).once('close', () => sockets.delete(socket));
      socket.once('data', () => {
        socket.write(HEAD);
        socket.on('drain', write).resume();
        write();
      });
    });
    started.listen(0, '127.0.0.1', () => resolve(started));
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    openConnections: () => sockets.size,
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
};

/** Runs `work` and returns its result with the largest growth of memory in bytes meanwhile. */
export const withMemoryGrowth = async <T>(work: () => Promise<T>) => {
  const memory = () => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const start = memory();
  let growth = 0;
  const timer = setInterval(() => {
    growth = Math.max(growth, memory() - start);
  }, SAMPLE_INTERVAL_MS);
  const result = await work();
  clearInterval(timer);
  return { result, growth };
};
