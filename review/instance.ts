import { randomUUID } from 'node:crypto';
import {
  createServer, type IncomingMessage, request, type ServerResponse,
} from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { platformHeaders } from '../platform/mod.ts';
import { createHeldKeys, type HeldRow, type HoldSpan } from './held_keys.ts';
import { HEARTBEAT_MS, type Host, ports } from './node_process.ts';
import type { CaseRecord } from './record.ts';

/** A request that an instance ran. */
export interface Run {
  readonly id: string;
  /** Monotonic time in ms of its arrival. */
  readonly at: number;
}

/** A stand-in for the instance of one host. */
export interface Instance {
  readonly id: string;
  readonly host: Host;
  /** Requests that it ran, in the order of their arrival. */
  readonly runs: readonly Run[];
  /** Spans in which it held keys. */
  readonly holds: () => readonly HoldSpan[];
  /**
   * Sends one call to the node of the host; resolves to whether it was acknowledged. A liveness
   * report may be late: it says what was true now, and arrives after the delay.
   */
  readonly call: (name: 'heartbeat' | 'deregister', delayMs?: number) => Promise<boolean>;
  /** Sends no further liveness reports at intervals. */
  readonly stopReports: () => void;
  readonly stop: () => void;
}

/** Options of an instance. */
export interface InstanceOptions {
  readonly host: Host;
  readonly record: CaseRecord;
  /** The service is divided by key, and the instance runs requests only for keys that it holds. */
  readonly isKeyed?: boolean;
  /** Time in ms that a request takes. */
  readonly workMs?: number;
  /** Answers a request that the instance runs; by default after that time with a short body. */
  readonly answer?: (id: string, message: IncomingMessage, response: ServerResponse) => void;
}

const SLOTS = 6;
const DEFAULT_WORK_MS = 20;
const CALL_TIMEOUT_MS = 1000;
/** Time to the next report after one whose answer made the instance release keys. */
const RELEASE_REPORT_MS = 80;
const STATUS_MISDIRECTED = 421;

interface ReportAnswer {
  readonly holds?: readonly HeldRow[];
  readonly hold_time?: string;
}

/** Sends a call to the control address of a host; resolves to the body of a 2xx answer. */
export const callNode = (host: Host, path: string, body: unknown) => (
  new Promise<string | undefined>((resolve) => {
    const call = request({
      host: host.ip,
      port: ports.announcements,
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      agent: false,
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => {
        const isAcknowledged = (response.statusCode ?? 0) >= 200 && response.statusCode! < 300;
        resolve(isAcknowledged ? Buffer.concat(chunks).toString() : undefined);
      });
      response.on('error', () => resolve(undefined));
    });
    call.setTimeout(CALL_TIMEOUT_MS, () => call.destroy());
    call.on('error', () => resolve(undefined));
    call.end(JSON.stringify(body));
  })
);

/** Starts an instance that reports to its node and runs every request that is meant for it. */
export const startInstance = async (options: InstanceOptions): Promise<Instance> => {
  const { host, record } = options;
  const id = `i-${randomUUID().slice(0, 8)}`;
  const born = Date.now();
  const runs: Run[] = [];
  const keys = createHeldKeys();
  let sequence = 0;

  const answerShortly = (requestId: string, _: IncomingMessage, response: ServerResponse) => {
    setTimeout(() => {
      response.writeHead(200, {
        [platformHeaders.requestId]: requestId,
        [platformHeaders.signature]: `${id}.${requestId}`,
      });
      response.end(JSON.stringify({ requestId, instance: id, service: host.service }));
    }, options.workMs ?? DEFAULT_WORK_MS);
  };

  const server = createServer((message, response) => {
    message.resume();
    const requestId = String(message.headers[platformHeaders.requestId] ?? '');
    const expected = message.headers[platformHeaders.expectedInstance];
    const key = Number(message.headers[platformHeaders.key] ?? Number.NaN);
    const isWrong = expected !== undefined && expected !== id;
    if (isWrong || (options.isKeyed && !keys.includes(key))) {
      response.writeHead(STATUS_MISDIRECTED, {
        [platformHeaders.requestId]: requestId, [platformHeaders.notRun]: '1', 'instance-id': id,
      }).end();
      return;
    }
    runs.push({ id: requestId, at: performance.now() });
    record.write('run', { request: requestId, instance: id, service: host.service });
    (options.answer ?? answerShortly)(requestId, message, response);
  });
  server.keepAliveTimeout = 10_000;
  await new Promise<void>((resolve) => {
    server.listen(ports.instance, host.ip, resolve);
  });

  const call: Instance['call'] = async (name, delayMs = 0) => {
    sequence += 1;
    const sentAt = performance.now();
    const body = {
      address: `${host.ip}:${ports.instance}`,
      born,
      info: {
        service: host.service, version: 'v1', zone: host.zone, slots: SLOTS,
      },
      status: { state: 'ready', sequence, cold_remaining: '0ms' },
      holds: keys.rows(),
      freed: keys.freed(),
    };
    if (delayMs > 0) await sleep(delayMs);
    const text = await callNode(host, `/instances/${id}/${name}`, body);
    if (text === undefined || delayMs > 0 || name !== 'heartbeat') return text !== undefined;
    const { holds, hold_time: holdTime = '0ms' } = JSON.parse(text) as ReportAnswer;
    const before = keys.rows().length;
    const isReleased = keys.apply(holds, Number.parseFloat(holdTime), sentAt);
    if (keys.rows().length !== before) {
      record.write('holds', { instance: id, host: host.name, rows: keys.rows() });
    }
    if (isReleased) setTimeout(() => call('heartbeat').catch(() => false), RELEASE_REPORT_MS);
    return true;
  };

  const report = () => {
    call('heartbeat').catch(() => false);
  };
  const timer = setInterval(report, HEARTBEAT_MS);
  report();
  const stopReports = () => clearInterval(timer);

  return {
    id,
    host,
    runs,
    holds: keys.spans,
    call,
    stopReports,
    stop: () => {
      stopReports();
      server.close();
      server.closeAllConnections();
    },
  };
};
