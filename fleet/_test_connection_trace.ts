/**
 * Is loaded before a node: at its exit it prints which connections of callers the process had
 * accepted, and what it had read from them.
 */
import { subscribe } from 'node:diagnostics_channel';
import { writeSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { listenersOf } from './_test_node_process.ts';
import { splitAddress } from '../http/mod.ts';
import { TRACE_NAME, type TracedConnection } from './_test_traced_connections.ts';

const STDOUT_FD = 1;
/** Covers a stop with its grace time. */
const KEPT_MS = 8000;
/** Times that a write is tried while the pipe of the log is full. */
const MAX_WRITES = 100_000;
const callerPort = splitAddress(listenersOf('').caller).port;

interface Connection extends TracedConnection {
  readonly socket: Socket;
  readonly acceptedAt: number;
}

const connections = new Map<Socket, Connection>();

subscribe('net.server.socket', (message) => {
  const { socket } = message as { readonly socket: Socket };
  if (socket.localPort !== callerPort) return;
  connections.set(socket, {
    socket,
    acceptedAt: performance.now(),
    port: socket.remotePort ?? 0,
    bytesRead: 0,
    requests: [],
  });
});

subscribe('http.server.request.start', (message) => {
  const { request } = message as { readonly request: IncomingMessage };
  const id = request.headers['request-id'];
  const traced = connections.get(request.socket);
  if (traced !== undefined) (traced.requests as string[]).push(String(id));
});

const write = (text: string) => {
  let rest = Buffer.from(text);
  for (let count = 0; rest.length > 0 && count < MAX_WRITES; count += 1) {
    try {
      rest = rest.subarray(writeSync(STDOUT_FD, rest));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') return;
    }
  }
};

process.on('exit', () => {
  const since = performance.now() - KEPT_MS;
  const traced = [...connections.values()]
    .filter(({ socket, acceptedAt }) => acceptedAt > since || !socket.destroyed)
    .map(({ socket, port, requests }): TracedConnection => ({
      port, bytesRead: socket.bytesRead, requests,
    }));
  write(`${JSON.stringify({ trace: TRACE_NAME, traced })}\n`);
});
