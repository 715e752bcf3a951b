import type { IncomingMessage } from 'node:http';

/**
 * Tells whether a request announces a body.
 *
 * @param message The request.
 * @returns True with a length above 0 or a transfer encoding.
 *
 * @example
 * const body = hasBody(message) ? message : null;
 */
export const hasBody = (message: IncomingMessage): boolean => (
  message.headers['transfer-encoding'] !== undefined
  || Number(message.headers['content-length'] ?? 0) > 0
);
