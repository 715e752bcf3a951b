import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '../clock/mod.ts';
import { type GrantTable, createGrantTable } from './_grant_table.ts';

/** One request that the stand-in began to run. */
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
  /** Requests that run at once; further ones are shed with status 503. */
  readonly slots: number;
  /** Duration of a request in ms; the request may ask for another by the header `x-work-ms`. */
  readonly workMs: number;
  /** Multiplies every duration. */
  readonly slowness: number;
  /** Refuses requests for slots without a grant under the same fencing token. */
  readonly checksGrants: boolean;
  /** Load that the load endpoint reports whatever the truth; `undefined` reports the truth. */
  readonly reportedLoad: number | undefined;
  /** A frozen server accepts connections and answers nothing. */
  readonly frozen: boolean;
  /** Extra slowness that fades out over the time given, after a start. */
  readonly coldStartMs: number;
}

/** A stand-in for an upstream instance. */
export interface UpstreamServer {
  readonly url: string;
  readonly executions: () => readonly Execution[];
  readonly setBehaviour: (change: Partial<UpstreamBehaviour>) => void;
  /** Stops at once, cutting connections, as a lost process does. */
  readonly kill: () => Promise<void>;
}

/** Options of a stand-in upstream. */
export interface UpstreamServerOptions {
  readonly clock: Clock;
  readonly instance: string;
  readonly behaviour?: Partial<UpstreamBehaviour>;
}

const COLD_SLOWNESS = 5;
const CHUNK_BYTES = 64 * 1024;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

const defaults: UpstreamBehaviour = {
  slots: 6,
  workMs: 2,
  slowness: 1,
  checksGrants: false,
  reportedLoad: undefined,
  frozen: false,
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

const sendBody = async (response: ServerResponse, bytes: number) => {
  const chunk = Buffer.alloc(CHUNK_BYTES, 'a');
  for (let left = bytes; left > 0 && !response.destroyed; left -= CHUNK_BYTES) {
    const part = left >= CHUNK_BYTES ? chunk : chunk.subarray(0, left);
    if (response.write(part)) continue;
    await new Promise<void>((resolve) => {
      const done = () => {
        response.off('drain', done);
        response.off('close', done);
        resolve();
      };
      response.on('drain', done);
      response.on('close', done);
    });
  }
  response.end();
};

/**
 * Starts a stand-in upstream on a free loopback port.
 *
 * It answers every request after a while with `{ instance, path, requestId }`, or with as many
 * bytes as `x-body-bytes` asks for; it records what it ran.
 *
 * @param options Clock, name and behaviour.
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
  let behaviour: UpstreamBehaviour = { ...defaults, ...options.behaviour };
  let running = 0;

  const workDuration = (request: IncomingMessage) => {
    const age = clock.now() - startedAt;
    const cold = age < behaviour.coldStartMs ? 1 - age / behaviour.coldStartMs : 0;
    const base = numberHeader(request, 'x-work-ms') ?? behaviour.workMs;
    return base * behaviour.slowness * (1 + cold * (COLD_SLOWNESS - 1));
  };

  const finish = (index: number, result: Execution['result']) => {
    const execution = executions[index];
    if (execution === undefined || execution.result !== 'running') return;
    executions[index] = { ...execution, result, endedAt: clock.now() };
    running -= 1;
  };

  const run = async (request: IncomingMessage, response: ServerResponse) => {
    const slot = numberHeader(request, 'x-fencing-slot') ?? -1;
    const token = numberHeader(request, 'x-fencing-token') ?? 0;
    if (behaviour.checksGrants && !grants.allows(slot, token)) {
      sendJson(response, HTTP_CONFLICT, { error: 'no grant', slot, token });
      return;
    }
    if (running >= behaviour.slots) {
      sendJson(response, HTTP_UNAVAILABLE, { error: 'overloaded' });
      return;
    }
    running += 1;
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
    response.on('close', () => finish(index, 'cancelled'));
    request.resume();
    await clock.sleep(workDuration(request));
    if (response.destroyed) return;
    const bytes = numberHeader(request, 'x-body-bytes');
    response.setHeader('x-request-id', requestId);
    if (bytes === undefined) {
      finish(index, 'finished');
      sendJson(response, HTTP_OK, { instance, path: request.url, requestId });
      return;
    }
    response.writeHead(HTTP_OK, { 'content-length': bytes });
    await sendBody(response, bytes);
    finish(index, 'finished');
  };

  const handle = async (request: IncomingMessage, response: ServerResponse) => {
    if (behaviour.frozen) return;
    if (request.url === '/v1/grants') {
      const outcome = grants.apply(request.method ?? '', await readJson(request));
      sendJson(response, outcome ? HTTP_OK : HTTP_CONFLICT, { accepted: outcome });
    } else if (request.url === '/load') {
      sendJson(response, HTTP_OK, { inFlight: behaviour.reportedLoad ?? running });
    } else if (request.url === '/health') sendJson(response, HTTP_OK, { healthy: true });
    else await run(request, response);
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
