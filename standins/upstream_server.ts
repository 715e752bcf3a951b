import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '../clock/mod.ts';
import { type GrantTable, createGrantTable } from './_grant_table.ts';

/** One request that the stand-in began to execute. */
export interface Execution {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly slot: number;
  readonly token: number;
  readonly startedAt: number;
  readonly endedAt: number | undefined;
  readonly result: 'running' | 'finished' | 'cancelled';
}

/** Behaviour of a stand-in upstream. */
export interface UpstreamBehaviour {
  /** Maximum number of concurrent requests; further ones are shed with status 503. */
  readonly maxConcurrentRequests: number;
  /** Duration of a request in ms; the request header `x-work-ms` overrides it. */
  readonly workMs: number;
  /** Factor by which every duration is multiplied. */
  readonly latencyFactor: number;
  /** Refuses requests whose slot has no grant with the same fencing token. */
  readonly checksGrants: boolean;
  /** Load that the load endpoint reports; `undefined` reports the actual load. */
  readonly reportedLoad: number | undefined;
  /** Accepts connections but never responds. */
  readonly isUnresponsive: boolean;
  /** Time in ms after a start over which requests are slower, by less and less. */
  readonly coldStartMs: number;
}

/** A running stand-in upstream instance. */
export interface UpstreamServer {
  readonly url: string;
  readonly executions: () => readonly Execution[];
  readonly setBehaviour: (change: Partial<UpstreamBehaviour>) => void;
  /** Stops abruptly and closes all connections, as a process crash does. */
  readonly kill: () => Promise<void>;
}

/** Options of a stand-in upstream. */
export interface UpstreamServerOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly behaviour?: Partial<UpstreamBehaviour>;
}

const COLD_LATENCY_FACTOR = 5;
const CHUNK_BYTES = 64 * 1024;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

const defaultBehaviour: UpstreamBehaviour = {
  maxConcurrentRequests: 6,
  workMs: 2,
  latencyFactor: 1,
  checksGrants: false,
  reportedLoad: undefined,
  isUnresponsive: false,
  coldStartMs: 0,
};

const numberHeader = (request: IncomingMessage, name: string): number | undefined => {
  const value = Number(request.headers[name]);
  return Number.isFinite(value) && request.headers[name] !== undefined ? value : undefined;
};

const sendJson = (response: ServerResponse, status: number, body: unknown) => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

const readJson = async (request: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

const sendBytes = async (response: ServerResponse, bytes: number) => {
  const chunk = Buffer.alloc(CHUNK_BYTES, 'a');
  for (let unsent = bytes; unsent > 0 && !response.destroyed; unsent -= CHUNK_BYTES) {
    const part = unsent >= CHUNK_BYTES ? chunk : chunk.subarray(0, unsent);
    if (response.write(part)) continue;
    await new Promise<void>((resolve) => {
      const onWritable = () => {
        response.off('drain', onWritable);
        response.off('close', onWritable);
        resolve();
      };
      response.on('drain', onWritable);
      response.on('close', onWritable);
    });
  }
  response.end();
};

/**
 * Starts a stand-in upstream on a free loopback port.
 *
 * It responds to every request after the work duration with `{ instance, path, requestId }`, or
 * with the number of bytes that `x-body-bytes` asks for, and records the executions.
 *
 * @param options Clock, name of the instance and behaviour.
 * @returns The running server.
 *
 * @example
 * const upstream = await startUpstreamServer({ clock, instance: 'ledger-1' });
 */
export const startUpstreamServer = async (
  options: UpstreamServerOptions,
): Promise<UpstreamServer> => {
  const { clock, instance } = options;
  const executions: Execution[] = [];
  const grants: GrantTable = createGrantTable();
  const startedAt = clock.now();
  let behaviour: UpstreamBehaviour = { ...defaultBehaviour, ...options.behaviour };
  let activeRequests = 0;

  const workDurationMs = (request: IncomingMessage) => {
    const uptimeMs = clock.now() - startedAt;
    const coldness = uptimeMs < behaviour.coldStartMs ? 1 - uptimeMs / behaviour.coldStartMs : 0;
    const baseMs = numberHeader(request, 'x-work-ms') ?? behaviour.workMs;
    return baseMs * behaviour.latencyFactor * (1 + coldness * (COLD_LATENCY_FACTOR - 1));
  };

  const recordEnd = (index: number, result: Execution['result']) => {
    const execution = executions[index];
    if (execution === undefined || execution.result !== 'running') return;
    executions[index] = { ...execution, result, endedAt: clock.now() };
    activeRequests -= 1;
  };

  const execute = async (request: IncomingMessage, response: ServerResponse) => {
    const slot = numberHeader(request, 'x-fencing-slot') ?? -1;
    const token = numberHeader(request, 'x-fencing-token') ?? 0;
    if (behaviour.checksGrants && !grants.isGranted(slot, token)) {
      sendJson(response, HTTP_CONFLICT, { error: 'no grant', slot, token });
      return;
    }
    if (activeRequests >= behaviour.maxConcurrentRequests) {
      sendJson(response, HTTP_UNAVAILABLE, { error: 'overloaded' });
      return;
    }
    activeRequests += 1;
    const requestId = String(request.headers['x-request-id'] ?? '');
    const index = executions.push({
      requestId,
      method: request.method ?? '',
      path: request.url ?? '',
      slot,
      token,
      startedAt: clock.now(),
      endedAt: undefined,
      result: 'running',
    }) - 1;
    response.on('close', () => recordEnd(index, 'cancelled'));
    request.resume();
    await clock.sleep(workDurationMs(request));
    if (response.destroyed) return;
    const bytes = numberHeader(request, 'x-body-bytes');
    response.setHeader('x-request-id', requestId);
    if (bytes === undefined) {
      recordEnd(index, 'finished');
      sendJson(response, HTTP_OK, { instance, path: request.url, requestId });
      return;
    }
    response.writeHead(HTTP_OK, { 'content-length': bytes });
    await sendBytes(response, bytes);
    recordEnd(index, 'finished');
  };

  const handle = async (request: IncomingMessage, response: ServerResponse) => {
    if (behaviour.isUnresponsive) return;
    if (request.url === '/v1/grants') {
      const isAccepted = grants.apply(request.method ?? '', await readJson(request));
      sendJson(response, isAccepted ? HTTP_OK : HTTP_CONFLICT, { accepted: isAccepted });
    } else if (request.url === '/load') {
      sendJson(response, HTTP_OK, { inFlight: behaviour.reportedLoad ?? activeRequests });
    } else if (request.url === '/health') sendJson(response, HTTP_OK, { healthy: true });
    else await execute(request, response);
  };

  const server: Server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    executions: () => executions,
    setBehaviour: (change) => {
      behaviour = { ...behaviour, ...change };
    },
    kill: async () => {
      server.closeAllConnections();
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
};
