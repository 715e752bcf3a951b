import type { ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import type { RefusalError } from '../errors/mod.ts';
import { REQUEST_ID_HEADER } from '../forward/mod.ts';

const statusTexts: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  401: 'Unauthorized',
  404: 'Not Found',
  408: 'Request Timeout',
  409: 'Conflict',
  413: 'Content Too Large',
  417: 'Expectation Failed',
  429: 'Too Many Requests',
  431: 'Request Header Fields Too Large',
  501: 'Not Implemented',
  502: 'Bad Gateway',
  503: 'Service Unavailable',
  504: 'Gateway Timeout',
};

const problemBody = (refusal: RefusalError, requestId: string): string => JSON.stringify({
  title: statusTexts[refusal.status] ?? 'Error',
  status: refusal.status,
  detail: refusal.reason,
  outcome: refusal.outcome,
  step: refusal.step,
  peer: refusal.peer,
  request: requestId,
});

const problemHeaders = (refusal: RefusalError, requestId: string, body: string): string[] => {
  const headers = [
    'content-type', 'application/problem+json',
    'content-length', String(Buffer.byteLength(body)),
    REQUEST_ID_HEADER, requestId,
  ];
  if (refusal.status === 401) headers.push('www-authenticate', 'Bearer');
  if (refusal.retryAfterSeconds !== undefined) {
    headers.push('retry-after', String(Math.ceil(refusal.retryAfterSeconds)));
  }
  return headers;
};

/**
 * Time for which the rest of a refused request is read. Closing a connection with unread bytes
 * resets it, so the caller could lose the response.
 */
const REQUEST_DRAIN_MS = 500;

const drainRequestAndEnd = (response: ServerResponse, clock: Clock) => {
  const { req } = response;
  const cancelDrainTimer = clock.schedule(REQUEST_DRAIN_MS, () => response.end());
  req.once('end', () => response.end());
  response.once('close', cancelDrainTimer);
  req.resume();
};

/**
 * Sends a refusal as a problem document. The rest of the request is read and discarded for a
 * limited time.
 *
 * @param response Response to write to.
 * @param refusal Refusal to send.
 * @param requestId Identifier of the request.
 * @param clock Clock of the node.
 *
 * @example
 * sendProblem(response, refusal, requestId, clock);
 */
export const sendProblem = (
  response: ServerResponse,
  refusal: RefusalError,
  requestId: string,
  clock: Clock,
): void => {
  const body = problemBody(refusal, requestId);
  const headers = problemHeaders(refusal, requestId, body);
  if (response.req.complete) {
    response.writeHead(refusal.status, headers);
    response.end(body);
    return;
  }
  response.shouldKeepAlive = false;
  response.writeHead(refusal.status, headers);
  response.write(body);
  drainRequestAndEnd(response, clock);
};

/**
 * Renders a refusal as a complete HTTP message, for input that the HTTP parser rejected.
 *
 * @param refusal Refusal to render.
 * @param requestId Identifier of the request.
 * @returns The message, which announces the close of the connection.
 *
 * @example
 * socket.end(renderProblem(refusal, requestId));
 */
export const renderProblem = (refusal: RefusalError, requestId: string): string => {
  const body = problemBody(refusal, requestId);
  const headers = problemHeaders(refusal, requestId, body);
  let head = `HTTP/1.1 ${refusal.status} ${statusTexts[refusal.status] ?? 'Error'}\r\n`;
  for (let index = 0; index < headers.length; index += 2) {
    head += `${headers[index]!}: ${headers[index + 1]!}\r\n`;
  }
  return `${head}connection: close\r\n\r\n${body}`;
};
