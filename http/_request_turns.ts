import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Expectation, HttpServerOptions } from './http_server_options.ts';
import { joinWaitingBody } from './_waiting_body.ts';
import { resetConnection } from './response_sink.ts';

/** A request whose head was read. */
export interface ReadRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly expect: Expectation;
  /** Time in ms at which the head was read. */
  readonly readAt: number;
  /** Called once the request has its turn. */
  readonly handle: HttpServerOptions['handle'];
}

/** Options of the turns of a connection. */
export interface RequestTurnsOptions {
  /** Returns whether the connection may end after this request, if no other one was read. */
  readonly mayEndAfter: (request: IncomingMessage) => boolean;
  /** Called when `handle` throws; without it, the error is thrown on. */
  readonly onHandleError: HttpServerOptions['onHandleError'] | undefined;
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
const STATUS_FAILED = 500;

/** Ends the response to a request whose handler has thrown an error. */
const endFailed = (request: IncomingMessage, response: ServerResponse) => {
  request.resume();
  if (response.headersSent) resetConnection(response);
  else response.writeHead(STATUS_FAILED, { connection: 'close', 'content-length': 0 }).end();
};

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
 * const turns = createRequestTurns(socket, { mayEndAfter, onDiscard, onHandleError });
 * server.on('request', (request, response) => (
 *   turns.add({ request, response, expect, readAt, handle })
 * ));
 */
export const createRequestTurns = (
  socket: Socket,
  { mayEndAfter, onDiscard, onHandleError }: RequestTurnsOptions,
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
      request, response, expect, readAt, handle,
    } = current;
    if (waiting.length === 0 && mayEndAfter(request)) response.shouldKeepAlive = false;
    response.once('close', () => {
      current = undefined;
      runNext();
    });
    try {
      handle(request, response, expect, readAt);
    } catch (error) {
      if (onHandleError === undefined) throw error;
      onHandleError(error, request);
      endFailed(request, response);
    }
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
      if (current !== undefined || waiting.length > 0) joinWaitingBody(read.request);
      waiting.push(read);
      if (isFull()) socket.pause();
      if (current !== undefined || isScheduled) return;
      isScheduled = true;
      // All requests that have arrived together are read before one is handled that may end their
      // connection. Node.js runs microtasks between a body and the request behind it.
      if (mayEndAfter(read.request)) setImmediate(runNext);
      else queueMicrotask(runNext);
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
