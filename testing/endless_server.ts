import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A server whose answers have no end. */
export interface EndlessServer {
  /** Host and port. */
  readonly address: string;
  readonly openConnections: () => number;
  readonly close: () => void;
}

/** What an endless server sends: the start once, and then the rest again and again. */
export interface EndlessAnswer {
  readonly start: string;
  readonly rest: string;
}

const endlessBody: EndlessAnswer = {
  start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
  rest: `8000\r\n${'x'.repeat(32_768)}\r\n`,
};

/** Bytes without end that are no part of an answer. */
export const endlessFraming: Readonly<Record<string, EndlessAnswer>> = {
  'line breaks': { start: '', rest: '\r\n'.repeat(16_384) },
  'a status line': { start: 'HTTP/1.1 200 ', rest: 'x'.repeat(32_768) },
  'interim responses': { start: '', rest: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1000) },
};

const SAMPLE_INTERVAL_MS = 5;

/**
 * Starts a server that answers each request with bytes without end, as fast as they are read, until
 * the client closes the connection.
 *
 * @param answer What it sends; a body in chunks if not given.
 * @returns The server, once it listens.
 *
 * @example
 * const server = await startEndlessServer();
 */
export const startEndlessServer = async (
  answer: EndlessAnswer = endlessBody,
): Promise<EndlessServer> => {
  const start = Buffer.from(answer.start);
  const rest = Buffer.from(answer.rest);
  const sockets = new Set<Socket>();
  const server = await new Promise<Server>((resolve) => {
    const started = createServer((socket) => {
      sockets.add(socket);
      const write = () => {
        while (!socket.destroyed && socket.write(rest));
      };
      socket.on('error', () => undefined).once('close', () => sockets.delete(socket));
      socket.once('data', () => {
        socket.write(start);
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
