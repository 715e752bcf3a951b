/**
 * Is loaded before a node: at its exit it writes which connections of callers the process had
 * accepted, and what it had read from them.
 */
import { subscribe } from 'node:diagnostics_channel';
import { writeFileSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { listenersOf, tracePathOf } from './_test_node_process.ts';
import { splitAddress } from '../http/mod.ts';
import { TRACE_NAME, type TracedConnection } from './_test_traced_connections.ts';

/** Covers a stop with its grace time. */
const KEPT_MS = 8000;
const settingsPath = process.env.MARJORAMHOLLOW_CONFIG ?? '';
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

process.on('exit', () => {
  const since = performance.now() - KEPT_MS;
  const traced = [...connections.values()]
    .filter(({ socket, acceptedAt }) => acceptedAt > since || !socket.destroyed)
    .map(({ socket, port, requests }): TracedConnection => ({
      port, bytesRead: socket.bytesRead, requests,
    }));
  writeFileSync(tracePathOf(settingsPath), `${JSON.stringify({ trace: TRACE_NAME, traced })}\n`);
});
