import { randomUUID } from 'node:crypto';
import { Agent, request } from 'node:http';
import { platformHeaders } from '../platform/mod.ts';
import { type Host, ports } from './node_process.ts';
import type { CaseRecord } from './record.ts';

/** An answer as the caller saw it. */
export interface Answer {
  readonly id: string;
  /** Monotonic time in ms at which the request was sent. */
  readonly sentAt: number;
  /** Status code; 0 if no head arrived. */
  readonly status: number;
  readonly isSigned: boolean;
  /** The answer ended as a whole answer ends, so that the caller takes it for complete. */
  readonly isComplete: boolean;
  readonly body: Buffer;
}

/** Options of a request. */
export interface SendOptions {
  readonly method?: string;
  readonly key?: number;
}

/** A caller on one host, which sends to the node of that host. */
export interface Caller {
  readonly send: (path: string, options?: SendOptions) => Promise<Answer>;
  readonly close: () => void;
}

export const HOST_HEADER = 'shop.example';
const DEADLINE_MS = 2000;
const SLACK_MS = 500;

/** Creates a caller with kept connections. */
export const createCaller = (host: Host, record: CaseRecord): Caller => {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  const send: Caller['send'] = (path, { method = 'GET', key } = {}) => (
    new Promise((resolve) => {
      const id = randomUUID().replaceAll('-', '').slice(0, 16);
      const sentAt = performance.now();
      const chunks: Buffer[] = [];
      let status = 0;
      let isSigned = false;
      let isSettled = false;
      record.write('sent', {
        request: id, host: host.name, path, ...(key === undefined ? {} : { key }),
      });
      const settle = (isComplete: boolean, reason: string) => {
        if (isSettled) return;
        isSettled = true;
        const body = Buffer.concat(chunks);
        record.write('answered', {
          request: id, status, signed: isSigned, complete: isComplete, bytes: body.length, reason,
        });
        resolve({
          id, sentAt, status, isSigned, isComplete, body,
        });
      };
      const call = request({
        host: host.ip,
        port: ports.caller,
        method,
        path,
        agent,
        headers: {
          host: HOST_HEADER,
          [platformHeaders.requestId]: id,
          [platformHeaders.remainingMs]: String(DEADLINE_MS),
          ...(key === undefined ? {} : { [platformHeaders.key]: String(key) }),
        },
      }, (response) => {
        status = response.statusCode ?? 0;
        isSigned = response.headers[platformHeaders.signature] !== undefined;
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => settle(response.complete, 'end'));
        response.on('error', (error) => settle(false, error.message));
        response.on('close', () => settle(false, 'closed'));
      });
      call.on('socket', (socket) => {
        // libuv reports a reset that arrives right after data as an end, without a remote address.
        const check = () => {
          if (socket.remoteAddress === undefined) settle(false, 'reset');
        };
        socket.prependOnceListener('end', check);
        call.once('close', () => socket.off('end', check));
      });
      const timer = setTimeout(() => call.destroy(), DEADLINE_MS + SLACK_MS);
      call.on('close', () => clearTimeout(timer));
      call.on('error', (error) => settle(false, error.message));
      call.end();
    })
  );
  return { send, close: () => agent.destroy() };
};
