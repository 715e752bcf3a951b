import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { splitAddress } from '../http/mod.ts';
import type { Random } from './_plan.ts';

/** A request as its caller saw it. All times are monotonic in ms. */
export interface SentRequest {
  readonly id: string;
  readonly node: number;
  readonly path: string;
  readonly deadlineMs: number;
  readonly isKept: boolean;
  sentAt: number;
  /** Whether the request was sent on a connection that had carried another one. */
  isReused: boolean;
  isConnected: boolean;
  /** Port of the caller; 0 until it is connected. */
  port: number;
  endedAt: number;
  answerBytes: number;
  status: number | undefined;
  body: string;
  /** Why there is no whole answer; `left` if the caller gave up after the deadline. */
  failure: string | undefined;
}

/** Options of {@link callUntil}. */
export interface CallerOptions {
  readonly node: number;
  readonly address: string;
  readonly random: Random;
  readonly intervalMs: number;
  /** Returns the prefix of the route that was published last. */
  readonly newestPrefix: () => string;
  readonly signal: AbortSignal;
}

/** Time after the deadline for which a caller waits, as the node answers at the deadline. */
const LEAVE_AFTER_DEADLINE_MS = 250;
const MIN_DEADLINE_MS = 100;
const MAX_DEADLINE_MS = 3000;
const MAX_KEPT_BODY = 300;

let nextId = 0;

/** Options of {@link send}. */
export interface SendOptions {
  /** Index of the node. */
  readonly node: number;
  readonly path: string;
  readonly deadlineMs: number;
  /** Agent that keeps connections; by default, the connection ends after the response. */
  readonly agent?: Agent;
}

/** Sends a request and resolves once it has a whole answer, or its connection has ended. */
export const send = (
  address: string,
  options: SendOptions,
): Promise<SentRequest> => new Promise((resolve) => {
  const {
    node, path, deadlineMs, agent,
  } = options;
  nextId += 1;
  const id = `starved-${nextId}`;
  const sent: SentRequest = {
    id,
    node,
    path,
    deadlineMs,
    isKept: agent !== undefined,
    sentAt: performance.now(),
    isReused: false,
    isConnected: false,
    port: 0,
    endedAt: 0,
    answerBytes: 0,
    status: undefined,
    body: '',
    failure: undefined,
  };
  const { host, port } = splitAddress(address);
  const request = sendRequest({
    host,
    port,
    path,
    method: path.startsWith('/orders/') ? 'POST' : 'GET',
    agent: agent ?? false,
    headers: { host: 'shop.example', 'request-id': id, 'deadline-ms': String(deadlineMs) },
  });
  let bytesReadBefore = 0;
  let bytesRead = () => 0;
  let response: IncomingMessage | undefined;
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
    received.on('data', (chunk: Buffer) => {
      if (sent.body.length < MAX_KEPT_BODY) sent.body += chunk.toString('latin1');
    });
    received.once('error', () => undefined);
  });
  request.on('error', (error: NodeJS.ErrnoException) => {
    sent.failure ??= error.code ?? error.message;
  });
  request.once('close', () => {
    clearTimeout(leave);
    sent.endedAt = performance.now();
    sent.answerBytes = bytesRead() - bytesReadBefore;
    if (response?.complete !== true) sent.failure ??= 'incomplete';
    resolve(sent);
  });
  request.end();
});

const pathOf = ({ random, newestPrefix }: CallerOptions) => {
  const prefix = ['/reads/', '/orders/', newestPrefix()][random(3)]!;
  return `${prefix}${random(1000)}`;
};

/** Sends requests to one node until aborted; resolves to all of them once each has ended. */
export const callUntil = async (options: CallerOptions): Promise<readonly SentRequest[]> => {
  const { random, signal } = options;
  const agent = new Agent({ keepAlive: true });
  const sent: Promise<SentRequest>[] = [];
  while (!signal.aborted) {
    sent.push(send(options.address, {
      node: options.node,
      path: pathOf(options),
      deadlineMs: MIN_DEADLINE_MS + random(MAX_DEADLINE_MS - MIN_DEADLINE_MS),
      ...(random(2) === 0 ? { agent } : {}),
    }));
    await sleep(random(2 * options.intervalMs));
  }
  const ended = await Promise.all(sent);
  agent.destroy();
  return ended;
};
