import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { createChunkJoiner } from '../bytes/mod.ts';
import type { CancelTask, Clock } from '../clock/mod.ts';

/** The body of a request as a separate stream, so that a failed hop leaves the connection open. */
export interface RequestBody {
  readonly stream: Readable;
  /** Returns whether the body is larger than the route allows. */
  readonly isTooLarge: () => boolean;
}

/** Cancellation and deadline of a wait for a body. */
interface BodyWaitLimits {
  readonly signal: AbortSignal;
  /** In ms of the monotonic clock. */
  readonly deadlineAt: number;
}

/** Largest rest of a body that is read and discarded so that the connection can be reused. */
const MAX_DISCARDED_BYTES = 262_144;

const discardRest = (message: IncomingMessage) => {
  if (message.complete || message.destroyed) return;
  let discardedBytes = 0;
  message.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) message.destroy();
  });
  message.resume();
};

/**
 * Streams the body of a message with backpressure and fails the stream beyond `maxBytes`.
 *
 * @param message The request.
 * @param maxBytes Largest allowed body in bytes.
 * @returns The body.
 *
 * @example
 * const body = createRequestBody(message, route.maxBodyBytes);
 */
export const createRequestBody = (message: IncomingMessage, maxBytes: number): RequestBody => {
  let bytes = 0;
  let isAttached = false;
  let stream: Readable;

  const joiner = createChunkJoiner((chunk) => {
    if (!stream.destroyed && !stream.push(chunk)) message.pause();
  });
  const onData = (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) stream.destroy(new Error('the body is larger than the route allows'));
    else joiner.add(chunk);
  };
  const onEnd = () => {
    joiner.flush();
    stream.push(null);
  };
  const onClose = () => {
    if (!message.complete) stream.destroy(new Error('the caller sent an incomplete body'));
  };
  const attach = () => {
    isAttached = true;
    message.on('data', onData);
    message.once('end', onEnd);
    message.once('close', onClose);
  };
  stream = new Readable({
    read: () => {
      if (!isAttached) attach();
      message.resume();
    },
    destroy: (error, done) => {
      message.off('data', onData);
      message.off('end', onEnd);
      message.off('close', onClose);
      discardRest(message);
      done(error);
    },
  });
  stream.on('error', () => undefined);
  return { stream, isTooLarge: () => bytes > maxBytes };
};

/**
 * Waits for the first bytes or the end of a body, so that they are written in the same event-loop
 * turn as the head of the request. Also resolves on cancellation and at the deadline.
 *
 * @param body Body of the request.
 * @param limits Cancellation signal and deadline.
 * @param clock Clock of the node.
 *
 * @example
 * if (request.body !== null) await waitForBody(request.body, request, clock);
 */
export const waitForBody = (
  body: Readable,
  { signal, deadlineAt }: BodyWaitLimits,
  clock: Clock,
): Promise<void> => (
  new Promise((resolve) => {
    if (body.readableLength > 0 || body.readableEnded || body.destroyed || signal.aborted) {
      resolve();
      return;
    }
    let cancelDeadline: CancelTask = () => undefined;
    const finish = () => {
      body.off('readable', finish);
      body.off('close', finish);
      signal.removeEventListener('abort', finish);
      cancelDeadline();
      resolve();
    };
    body.on('readable', finish);
    body.on('close', finish);
    signal.addEventListener('abort', finish);
    cancelDeadline = clock.schedule(Math.max(0, deadlineAt - clock.now()), finish);
  })
);
