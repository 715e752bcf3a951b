import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { splitAddress } from '../http/mod.ts';

/** A request as its caller saw it. All times are monotonic in ms. */
export interface SentRequest {
  readonly id: string;
  readonly path: string;
  readonly deadlineMs: number;
  readonly isKept: boolean;
  sentAt: number;
  /** Time at which the last part was written; infinite if the connection ended before. */
  sentWholeAt: number;
  /** Whether the request was sent on a connection that had carried another one. */
  isReused: boolean;
  isConnected: boolean;
  /** Port of the caller; 0 until it is connected. */
  port: number;
  endedAt: number;
  answerBytes: number;
  status: number | undefined;
  /** Request identifier of the answer. */
  answerId: string | undefined;
  /** Begin of the body, and its whole length. */
  body: string;
  bodyBytes: number;
  /** Whether the answer bears the seal of an instance. */
  isSealed: boolean;
  /** Why there is no whole answer; `left` if the caller gave up after the deadline. */
  failure: string | undefined;
}

/** Options of {@link send}. */
export interface SendOptions {
  readonly id: string;
  readonly path: string;
  readonly deadlineMs: number;
  /** By default, `POST` on the routes of orders and `GET` on others. */
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Parts of the body, each sent a time in ms after the one before. */
  readonly bodyParts?: readonly string[];
  readonly partDelayMs?: number;
  /** Ends the sending side of the connection right after the request. */
  readonly isHalfClosed?: boolean;
  /** Agent that keeps connections; by default, the connection ends after the response. */
  readonly agent?: Agent;
}

/** Time after the deadline for which a caller waits, as the node answers at the deadline. */
const LEAVE_AFTER_DEADLINE_MS = 250;
const MAX_KEPT_BODY = 300;

/**
 * Sends a request and resolves once it has a whole answer, or its connection has ended.
 *
 * @param address Address of the listener for callers.
 * @param options Identifier, path, deadline, body and connection.
 * @returns What the caller saw.
 *
 * @example
 * const { status } = await send(caller, { id: 'a', path: '/reads/a', deadlineMs: 1000 });
 */
export const send = (address: string, options: SendOptions): Promise<SentRequest> => {
  const {
    id, path, deadlineMs, agent, bodyParts = [], partDelayMs = 0, isHalfClosed = false,
  } = options;
  const sent: SentRequest = {
    id,
    path,
    deadlineMs,
    isKept: agent !== undefined,
    sentAt: performance.now(),
    sentWholeAt: Infinity,
    isReused: false,
    isConnected: false,
    port: 0,
    endedAt: 0,
    answerBytes: 0,
    status: undefined,
    answerId: undefined,
    body: '',
    bodyBytes: 0,
    isSealed: false,
    failure: undefined,
  };
  const { host, port } = splitAddress(address);
  const request = sendRequest({
    host,
    port,
    path,
    method: options.method ?? (path.startsWith('/orders/') ? 'POST' : 'GET'),
    agent: agent ?? false,
    headers: {
      host: 'shop.example',
      'request-id': id,
      'deadline-ms': String(deadlineMs),
      ...options.headers,
    },
  });
  let bytesReadBefore = 0;
  let bytesRead = () => 0;
  let response: IncomingMessage | undefined;
  const ended = new Promise<SentRequest>((resolve) => {
    const leave = setTimeout(() => {
      sent.failure = 'left';
      request.destroy();
    }, deadlineMs + LEAVE_AFTER_DEADLINE_MS);
    request.once('socket', (socket) => {
      sent.isReused = request.reusedSocket;
      bytesReadBefore = socket.bytesRead;
      bytesRead = () => socket.bytesRead;
      sent.isConnected = !socket.connecting;
      sent.port = socket.localPort ?? 0;
      if (!socket.connecting) return;
      socket.once('connect', () => {
        sent.isConnected = true;
        sent.port = socket.localPort ?? 0;
      });
    });
    request.once('response', (received) => {
      response = received;
      sent.status = received.statusCode;
      sent.answerId = received.headers['request-id'] as string | undefined;
      sent.isSealed = received.headers['response-seal'] !== undefined;
      received.on('data', (chunk: Buffer) => {
        sent.bodyBytes += chunk.length;
        if (sent.body.length < MAX_KEPT_BODY) sent.body += chunk.toString('latin1');
      });
      received.once('error', () => undefined);
    });
    request.on('error', (error: NodeJS.ErrnoException) => {
      sent.failure ??= error.code ?? error.message;
    });
    // The rest of the body may meet a connection that has ended with a whole answer.
    request.once('close', () => {
      clearTimeout(leave);
      sent.endedAt = performance.now();
      sent.answerBytes = bytesRead() - bytesReadBefore;
      if (response?.complete !== true) sent.failure ??= 'incomplete';
      else if (sent.failure !== 'left') sent.failure = undefined;
      resolve(sent);
    });
  });
  const write = async () => {
    for (const part of bodyParts) {
      request.write(part);
      await sleep(partDelayMs);
    }
    if (request.destroyed) return;
    request.end(() => {
      sent.sentWholeAt = performance.now();
      if (isHalfClosed) request.socket?.end();
    });
  };
  write().catch((error: unknown) => request.destroy(error as Error));
  return ended;
};
