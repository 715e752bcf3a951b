import { randomUUID } from 'node:crypto';
import {
  createServer, type IncomingMessage, request, type ServerResponse,
} from 'node:http';
import { platformHeaders } from '../../platform/mod.ts';
import { HEARTBEAT_MS, type Host, ports } from './node_process.ts';
import type { CaseRecord } from './record.ts';

/** A request that reached an instance. */
export interface Run {
  readonly id: string;
  readonly instance: string;
  readonly service: string;
  /** Monotonic time in ms of its arrival. */
  readonly at: number;
}

/** A stand-in for the instance of one host. */
export interface Instance {
  readonly id: string;
  readonly service: string;
  /** Requests in the order of their arrival, all of which it runs. */
  readonly runs: readonly Run[];
  /** Sends a call to the node of the host until it is acknowledged; resolves to the time. */
  readonly call: (name: 'heartbeat' | 'deregister') => Promise<number>;
  readonly setState: (state: 'ready' | 'draining') => void;
  readonly stop: () => void;
}

/** Options of an instance. */
export interface InstanceOptions {
  readonly host: Host;
  readonly record: CaseRecord;
  readonly slots?: number;
  /** Answers a request that the instance runs; by default after 20 ms with a short body. */
  readonly answer?: (id: string, message: IncomingMessage, response: ServerResponse) => void;
}

const DEFAULT_SLOTS = 6;
const WORK_MS = 20;
const CALL_TIMEOUT_MS = 1000;
const RETRY_MS = 200;
const STATUS_MISDIRECTED = 421;

/** Starts an instance that announces itself and runs every request that is meant for it. */
export const startInstance = async (options: InstanceOptions): Promise<Instance> => {
  const { host, record } = options;
  const id = `i-${randomUUID().slice(0, 8)}`;
  const born = Date.now();
  const runs: Run[] = [];
  let sequence = 0;
  let state: 'ready' | 'draining' = 'ready';
  let isStopped = false;

  const answerShortly = (requestId: string, _: IncomingMessage, response: ServerResponse) => {
    setTimeout(() => {
      response.writeHead(200, {
        [platformHeaders.requestId]: requestId,
        [platformHeaders.signature]: `${id}.${requestId}`,
      });
      response.end(JSON.stringify({ requestId, instance: id, service: host.service }));
    }, WORK_MS);
  };

  const server = createServer((message, response) => {
    message.resume();
    const requestId = String(message.headers[platformHeaders.requestId] ?? '');
    const expected = message.headers[platformHeaders.expectedInstance];
    if (expected !== undefined && expected !== id) {
      response.writeHead(STATUS_MISDIRECTED, {
        [platformHeaders.requestId]: requestId, [platformHeaders.notRun]: '1', 'instance-id': id,
      }).end();
      return;
    }
    runs.push({
      id: requestId, instance: id, service: host.service, at: performance.now(),
    });
    record.write('run', { request: requestId, instance: id, service: host.service });
    (options.answer ?? answerShortly)(requestId, message, response);
  });
  server.keepAliveTimeout = 10_000;
  await new Promise<void>((resolve) => {
    server.listen(ports.instance, host.ip, resolve);
  });

  const callOnce = (name: 'heartbeat' | 'deregister') => new Promise<boolean>((resolve) => {
    sequence += 1;
    const call = request({
      host: host.ip,
      port: ports.announcements,
      method: 'POST',
      path: `/instances/${id}/${name}`,
      headers: { 'content-type': 'application/json' },
      agent: false,
    }, (response) => {
      response.resume();
      response.on('end', () => resolve((response.statusCode ?? 0) < 300));
      response.on('error', () => resolve(false));
    });
    call.setTimeout(CALL_TIMEOUT_MS, () => call.destroy());
    call.on('error', () => resolve(false));
    call.end(JSON.stringify({
      address: `${host.ip}:${ports.instance}`,
      born,
      info: {
        service: host.service,
        version: 'v1',
        zone: host.zone,
        slots: options.slots ?? DEFAULT_SLOTS,
      },
      status: { state, sequence, cold_remaining: '0ms' },
      holds: [],
      freed: [],
    }));
  });

  const timer = setInterval(() => {
    callOnce('heartbeat').catch(() => undefined);
  }, HEARTBEAT_MS);
  callOnce('heartbeat').catch(() => undefined);

  return {
    id,
    service: host.service,
    runs,
    call: async (name) => {
      while (!isStopped) {
        if (await callOnce(name)) return performance.now();
        await new Promise((resolve) => {
          setTimeout(resolve, RETRY_MS);
        });
      }
      throw new Error('the instance has stopped');
    },
    setState: (next) => {
      state = next;
    },
    stop: () => {
      isStopped = true;
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
};
