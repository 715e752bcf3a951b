import type { IncomingMessage } from 'node:http';
import { hasBody } from '../http/mod.ts';

/**
 * Reads a request's body as a whole, so that it can be sent again to another instance.
 *
 * @returns The body, null without one, or undefined when the caller broke off or sent too much.
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
  let bytes = 0;
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      message.pause();
      resolve(undefined);
    } else chunks.push(chunk);
  });
  message.once('end', () => resolve(Buffer.concat(chunks)));
  message.once('close', () => resolve(undefined));
});
