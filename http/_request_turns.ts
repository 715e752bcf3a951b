import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Expectation, HttpServerOptions } from './http_server_options.ts';

/** A request whose head was read. */
export interface ReadRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly expect: Expectation;
  /** Time in ms at which the head was read. */
  readonly readAt: number;
}

/** Options of the turns of a connection. */
export interface RequestTurnsOptions {
  readonly handle: HttpServerOptions['handle'];
  /** Returns whether the connection may end after this request, if no other one was read. */
  readonly mayEndAfter: (request: IncomingMessage) => boolean;
  /** Called with requests that are not handled, since their connection has ended. */
  readonly onDiscard: (requests: readonly IncomingMessage[]) => void;
}

/** Handles the requests of one connection, one after the other. */
export interface RequestTurns {
  readonly add: (read: ReadRequest) => void;
  /** Ends the connection after the last request that was read, if its response has not begun. */
  readonly endAfterLast: () => void;
  /** Runs a task once all requests that were read have been answered, or their connection ended. */
  readonly runAfterLast: (task: () => void) => void;
}

/**
 * Requests of a connection that are read ahead. More of them wait in the socket, behind which the
 * leave of the client goes unnoticed.
 */
const MAX_WAITING_REQUESTS = 100;

/**
 * Creates the turns of a connection. A request is handled once the response before it has been
 * sent, so a response that ends its connection takes no running request with it. An end that the
 * server has chosen moves to the response of the last request that was read.
 *
 * @param socket The connection.
 * @param options Handler and decisions about the end of the connection.
 * @returns The turns, without requests.
 *
 * @example
 * const turns = createRequestTurns(socket, { handle, mayEndAfter: () => isStopping, onDiscard });
 * server.on('request', (request, response) => turns.add({ request, response, expect, readAt }));
 */
export const createRequestTurns = (
  socket: Socket,
  { handle, mayEndAfter, onDiscard }: RequestTurnsOptions,
): RequestTurns => {
  let waiting: ReadRequest[] = [];
  let current: ReadRequest | undefined;
  let runLast: (() => void) | undefined;
  let isScheduled = false;

  const isFull = () => waiting.length >= MAX_WAITING_REQUESTS;

  const discard = (requests: readonly ReadRequest[]) => {
    if (requests.length === 0) return;
    for (const { request } of requests) request.resume();
    onDiscard(requests.map(({ request }) => request));
  };

  const runNext = () => {
    isScheduled = false;
    if (current !== undefined) return;
    if (!socket.writable) {
      discard(waiting);
      waiting = [];
    }
    const wasFull = isFull();
    current = waiting.shift();
    if (current === undefined) {
      runLast?.();
      runLast = undefined;
      return;
    }
    if (wasFull && !isFull()) socket.resume();
    const {
      request, response, expect, readAt,
    } = current;
    if (waiting.length === 0 && mayEndAfter(request)) response.shouldKeepAlive = false;
    response.once('close', () => {
      current = undefined;
      runNext();
    });
    handle(request, response, expect, readAt);
  };

  // Node.js resumes a paused socket at the end of each request.
  socket.on('resume', () => {
    if (isFull()) socket.pause();
  });

  return {
    add: (read) => {
      if (!socket.writable) {
        discard([read]);
        return;
      }
      // A request that can be read behind another one leaves no other reason to end.
      if (current?.response.headersSent === false) current.response.shouldKeepAlive = true;
      waiting.push(read);
      if (isFull()) socket.pause();
      if (current !== undefined || isScheduled) return;
      isScheduled = true;
      // All requests that have arrived together are read before the first one is handled.
      queueMicrotask(runNext);
    },
    endAfterLast: () => {
      if (waiting.length > 0 || current?.response.headersSent !== false) return;
      current.response.shouldKeepAlive = false;
    },
    runAfterLast: (task) => {
      runLast = task;
      runNext();
    },
  };
};
