import type { IncomingMessage } from 'node:http';
import { type ChunkCollector, createChunkCollector } from '../bytes/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { hasBody } from '../http/mod.ts';
import type { BodyReservation } from './body_budget.ts';

/** Why a body was given up: its rest is discarded, and it was not passed on. */
export type BodyRejection = 'late' | 'too large' | 'no room';

/** Limits of a body. */
export interface BodyLimits {
  readonly clock: Clock;
  /** Maximum size in bytes. */
  readonly maxBytes: number;
  /** Time in ms of the clock by which the whole body must have arrived. */
  readonly deadlineAt: number;
  /** Memory of the body; the caller releases it once the body is not used any more. */
  readonly reservation: BodyReservation;
}

const declaredLength = ({ headers }: IncomingMessage): number | undefined => {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
};

/**
 * Buffers the whole body of a request, so that a retry can send it to another instance.
 *
 * @param message The request.
 * @param limits Size, deadline and memory.
 * @returns The body; null when there is none; undefined when the connection closed early;
 * otherwise why it was given up.
 */
export const readBody = (
  message: IncomingMessage,
  {
    clock, maxBytes, deadlineAt, reservation,
  }: BodyLimits,
): Promise<Buffer | null | undefined | BodyRejection> => new Promise((resolve) => {
  if (!hasBody(message)) {
    message.resume();
    resolve(null);
    return;
  }
  const declaredBytes = declaredLength(message);
  if (declaredBytes !== undefined && declaredBytes > maxBytes) {
    message.resume();
    resolve('too large');
    return;
  }
  if (declaredBytes !== undefined && !reservation.reserve(declaredBytes)) {
    message.resume();
    resolve('no room');
    return;
  }
  let collector: ChunkCollector | undefined = createChunkCollector({
    maxBytes, initialBytes: declaredBytes, reserve: reservation.reserve,
  });
  let receivedBytes = 0;
  const giveUp = (reason: BodyRejection) => {
    collector?.discard();
    collector = undefined;
    reservation.release();
    resolve(reason);
  };
  const remainingMs = Math.max(0, Math.ceil(deadlineAt - clock.now()));
  const cancel = clock.schedule(remainingMs, () => giveUp('late'));
  message.on('data', (chunk: Buffer) => {
    if (collector === undefined) return;
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) giveUp('too large');
    else if (!collector.add(chunk)) giveUp('no room');
  });
  message.once('end', () => {
    cancel();
    if (collector !== undefined) resolve(collector.finish());
  });
  message.once('close', () => {
    cancel();
    if (!message.complete) collector?.discard();
    resolve(undefined);
  });
});
