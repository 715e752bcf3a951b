import type { IncomingMessage } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import { hasBody } from '../http/mod.ts';

/**
 * Buffers the whole body of a request, so that a retry can send it to another instance.
 *
 * @param message The request.
 * @param maxBytes Maximum size of the body in bytes.
 * @param clock Clock of the deadline.
 * @param deadlineAt Time in ms of the clock by which the whole body must have arrived.
 * @returns The body; null when there is none; undefined when the connection closed early;
 * otherwise why it was given up, and its rest is discarded.
 */
export const readBody = (
  message: IncomingMessage,
  maxBytes: number,
  clock: Clock,
  deadlineAt: number,
): Promise<Buffer | null | undefined | 'late' | 'too large'> => new Promise((resolve) => {
  if (!hasBody(message)) {
    message.resume();
    resolve(null);
    return;
  }
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  let isGivenUp = false;
  const giveUp = (reason: 'late' | 'too large') => {
    isGivenUp = true;
    chunks.length = 0;
    resolve(reason);
  };
  const remainingMs = Math.max(0, Math.ceil(deadlineAt - clock.now()));
  const cancel = clock.schedule(remainingMs, () => giveUp('late'));
  message.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) giveUp('too large');
    else if (!isGivenUp) chunks.push(chunk);
  });
  message.once('end', () => resolve(Buffer.concat(chunks)));
  message.once('close', () => {
    cancel();
    resolve(undefined);
  });
});
