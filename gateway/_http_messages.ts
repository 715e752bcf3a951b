import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import type { RefusalError } from '../errors/mod.ts';
import {
  endAfterRequest, hasBody, isHalfOpen, resetConnection,
} from '../http/mod.ts';

/**
 * Returns a signal that aborts when the client disconnects before the response is complete. A
 * client that ends its side only has disconnected, unless its connection is kept half open. The
 * peer listener keeps none so: a node ends a connection to it once it has given up on the request.
 */
export const abortOnClose = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  const { socket } = response.req;
  const abort = () => {
    if (!response.writableFinished) controller.abort();
  };
  const abortAtEnd = () => {
    if (!isHalfOpen(socket)) abort();
  };
  // The end of the input comes before the close; Node.js sends no further response after it.
  socket.once('end', abortAtEnd);
  response.once('close', () => {
    socket.off('end', abortAtEnd);
    abort();
  });
  return controller.signal;
};

/** Formats a refusal as a JSON body for the caller; the message names the step and the peer. */
export const formatRefusal = ({ message, outcome }: RefusalError): string => (
  JSON.stringify({ error: message, outcome })
);

/** Maximum jitter added to Retry-After, as a fraction of it; prevents simultaneous retries. */
const RETRY_AFTER_JITTER = 0.2;

/** Formats the header that tells a caller when to return; empty if the refusal names no time. */
export const formatRetryAfter = (
  { retryAfterSeconds }: RefusalError,
  random: () => number,
): readonly string[] => {
  if (retryAfterSeconds === undefined) return [];
  const jittered = retryAfterSeconds * (1 + random() * RETRY_AFTER_JITTER);
  return ['retry-after', jittered.toFixed(3)];
};

const writeHead = (
  response: ServerResponse,
  status: number,
  headers: readonly string[],
  text: string,
) => response.writeHead(status, [
  ...headers,
  ...(text === '' ? [] : ['content-type', 'application/json']),
  'content-length', String(Buffer.byteLength(text)),
]);

/**
 * Sends a complete response with a JSON body, or without a body when `text` is empty. Does nothing
 * when the connection is closed or the headers were already sent.
 */
export const respondWithJson = (
  response: ServerResponse,
  status: number,
  headers: readonly string[],
  text: string,
): void => {
  if (response.destroyed || response.headersSent) return;
  writeHead(response, status, headers, text).end(text);
};

/**
 * Sends a complete response like {@link respondWithJson} to a request whose body may be unread. If
 * the connection is to be closed, the rest of the body is read and discarded first, for a limited
 * time: closing a socket with unread bytes resets it, and the reset can discard the response.
 */
export const respondBeforeBody = (
  clock: Clock,
  response: ServerResponse,
  status: number,
  headers: readonly string[],
  text: string,
): void => {
  const message = response.req;
  if (response.shouldKeepAlive || message.complete || !hasBody(message)) {
    respondWithJson(response, status, headers, text);
    return;
  }
  if (response.destroyed || response.headersSent) return;
  writeHead(response, status, headers, text);
  if (text === '') response.flushHeaders();
  else response.write(text);
  endAfterRequest(clock, response);
};

/**
 * Ends a request whose handling threw an error: with the given response if none has begun. A
 * response that has begun is cut, and one that has ended is still sent.
 */
export const respondToError = (
  clock: Clock,
  response: ServerResponse,
  status: number,
  headers: readonly string[],
  text: string,
): void => {
  if (response.writableEnded) return;
  if (response.headersSent) resetConnection(response);
  else respondBeforeBody(clock, response, status, headers, text);
};

/** Creates a function that returns whether a request is the first one on its connection. */
export const createFirstRequestCheck = () => {
  const used = new WeakSet<object>();
  return ({ socket }: IncomingMessage): boolean => {
    if (used.has(socket)) return false;
    used.add(socket);
    return true;
  };
};

/** Headers that the refusal of a request needs: for its route, and for the end of its body. */
const KEPT_HEADERS = ['host', 'content-length', 'transfer-encoding'] as const;
/** Longer URLs and headers would take as much memory as the heads that are freed. */
const MAX_KEPT_LENGTH = 1024;

const isShort = (text: string | readonly string[] | undefined) => (
  text !== undefined && text.length <= MAX_KEPT_LENGTH
);

/**
 * Frees the head of a request that is refused before its body was read, but for what the refusal
 * needs. Node.js keeps the message until the end of its body, which may come late.
 *
 * @param message The request.
 * @param idHeader Name of the header that is kept for log lines.
 */
export const releaseHead = (message: IncomingMessage, idHeader: string): void => {
  const { headers, url = '' } = message;
  const kept = [...KEPT_HEADERS, idHeader].filter((name) => isShort(headers[name]));
  Object.assign(message, {
    url: isShort(url) ? url : '',
    rawHeaders: [],
    headers: Object.fromEntries(kept.map((name) => [name, headers[name]])),
  });
};

/** Creates a check of the room for a request at its head, which frees the head if there is none. */
export const createRoomCheck = (
  heap: { readonly mayAccept: () => boolean } | undefined,
  idHeader: string,
) => (message: IncomingMessage): boolean => {
  if (heap?.mayAccept() !== false) return true;
  releaseHead(message, idHeader);
  return false;
};

/** Sends 100 Continue to a caller that waits for it before it sends the body. */
export const sendContinueIfExpected = (
  expect: 'none' | 'continue' | 'other',
  response: ServerResponse,
) => {
  if (expect === 'continue') response.writeContinue();
};

/** Returns the first value of a header, or undefined when the header is missing. */
export const firstHeaderValue = (message: IncomingMessage, name: string): string | undefined => {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
};
