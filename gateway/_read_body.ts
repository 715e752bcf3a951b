import type { IncomingMessage } from 'node:http';
import { hasBody } from '../http/mod.ts';

/**
 * Buffers the whole body of a request, so that a retry can send it to another instance.
 *
 * @param message The request.
 * @param maxBytes Maximum size of the body in bytes.
 * @returns The body; null when there is none; undefined when the connection closed early or the
 * body exceeds `maxBytes`; the rest of such a body is discarded.
 */
export const readBody = (
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | null | undefined> => new Promise((resolve) => {
  if (!hasBody(message)) {
    message.resume();
    resolve(null);
    return;
  }
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  message.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      chunks.length = 0;
      resolve(undefined);
    } else chunks.push(chunk);
  });
  message.once('end', () => resolve(Buffer.concat(chunks)));
  message.once('close', () => resolve(undefined));
});
