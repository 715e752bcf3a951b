import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Recorder } from './case_2.ts';

/** How a request of a client ended. */
export interface Ending {
  readonly id: string;
  /** Status of a complete answer; undefined if the connection ended without one. */
  readonly status: number | undefined;
  /** Whether an earlier request was answered on the connection. */
  readonly isKept: boolean;
  readonly reason: string;
}

/** A request of a client. */
export interface ClientRequest {
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly deadlineMs: number;
  /** Key of a request to a service that is divided by key. */
  readonly key?: number;
  readonly agent: Agent;
}

/** Sends a request to a node and waits for its end. */
export const callOnce = (address: string, call: ClientRequest): Promise<Ending> => (
  new Promise((settle) => {
    const [host, port] = address.split(':');
    const sent = request({
      host,
      port,
      path: call.path,
      method: call.method ?? 'GET',
      agent: call.agent,
      timeout: call.deadlineMs,
      headers: {
        host: 'shop.example',
        'request-id': call.id,
        'deadline-ms': call.deadlineMs,
        ...(call.key === undefined ? {} : { 'shard-key': call.key }),
      },
    }, (response) => {
      response.on('error', () => undefined);
      response.resume();
      response.once('close', () => settle({
        id: call.id,
        status: response.complete ? response.statusCode : undefined,
        isKept: sent.reusedSocket,
        reason: response.complete ? '' : 'the answer is cut off',
      }));
    });
    sent.once('timeout', () => sent.destroy(new Error('no answer within the deadline')));
    sent.once('error', (error) => settle({
      id: call.id, status: undefined, isKept: sent.reusedSocket, reason: error.message,
    }));
    sent.end();
  })
);

/** Pause in ms after a request without an answer. */
const FAILURE_PAUSE_MS = 500;

/** Sends requests one after the other until it is stopped. */
export interface Caller {
  readonly endings: readonly Ending[];
  readonly stop: () => Promise<void>;
}

/** Options of a caller. */
export interface CallerOptions {
  readonly name: string;
  readonly address: string;
  readonly path: string;
  readonly method?: string;
  readonly deadlineMs: number;
  /** Pause in ms after each request. */
  readonly pauseMs: number;
  readonly recorder: Recorder;
}

/** Starts a caller that keeps its connection. */
export const startCaller = (options: CallerOptions): Caller => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const endings: Ending[] = [];
  let isStopped = false;
  const run = async () => {
    for (let count = 1; !isStopped; count += 1) {
      const ending = await callOnce(options.address, {
        id: `${options.name}-${count}`,
        path: options.path,
        method: options.method,
        deadlineMs: options.deadlineMs,
        agent,
      });
      endings.push(ending);
      options.recorder.note(
        `${ending.id} ends: ${ending.status ?? `no answer, ${ending.reason}`}`,
      );
      await sleep(ending.status === undefined ? FAILURE_PAUSE_MS : options.pauseMs);
    }
    agent.destroy();
  };
  const done = run();
  return {
    endings,
    stop: () => {
      isStopped = true;
      return done;
    },
  };
};

/** A route of a contract. */
export interface RouteOptions {
  readonly prefix: string;
  readonly type: 'safe' | 'unsafe' | 'download';
  readonly service: string;
  readonly timeout: string;
}

/** Returns a contract in the form of `op/config`, with the limits that `fleetbench wire` shows. */
export const contractOf = (
  routes: readonly RouteOptions[],
  { isKeyed = false }: { readonly isKeyed?: boolean } = {},
) => ({
  version: 7,
  resources: [
    ...routes.map(({
      prefix, type, service, timeout,
    }) => ({
      resource_type: 'routes',
      metadata: { name: `r${prefix}` },
      spec: {
        host: 'shop.example',
        prefix,
        route_type: type,
        timeout,
        target_latency: '500ms',
        priority: 1,
        max_attempts: 2,
        service,
      },
    })),
    ...[...new Set(routes.map(({ service }) => service))].map((service) => ({
      resource_type: 'services',
      metadata: { name: service },
      spec: {
        health_path: '/health',
        max_connections: 71,
        protocol: 'h1',
        tls: false,
        sharded: isKeyed,
        ...(isKeyed ? { warm: '3s', grants: 'heartbeat' } : {}),
      },
    })),
    {
      resource_type: 'limits',
      metadata: {},
      spec: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout: '3000ms',
        idle_timeout: '15000ms',
      },
    },
  ],
});
