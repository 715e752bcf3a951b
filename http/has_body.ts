import type { IncomingMessage } from 'node:http';

/**
 * Returns whether the headers of a request declare a body.
 *
 * @param message The request.
 * @returns True if `Content-Length` is above 0 or `Transfer-Encoding` is present.
 *
 * @example
 * const body = hasBody(message) ? message : null;
 */
export const hasBody = (message: IncomingMessage): boolean => (
  message.headers['transfer-encoding'] !== undefined
  || Number(message.headers['content-length'] ?? 0) > 0
);
