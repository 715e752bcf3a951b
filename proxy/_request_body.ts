import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import type { CancelTask, Clock } from '../clock/mod.ts';

/** A request's body as a stream of its own, so that a failed hop does not end the connection. */
export interface RequestBody {
  readonly stream: Readable;
  /** More bytes came than the route allows. */
  readonly exceeded: () => boolean;
}

/** Ends a wait for a body. */
interface BodyWait {
  readonly signal: AbortSignal;
  /** Monotonic time in ms. */
  readonly deadlineAt: number;
}

/** Bytes of an unread body that are ignored at most, so that the connection can be used again. */
const MAX_IGNORED_BYTES = 262_144;

const ignoreRest = (message: IncomingMessage) => {
  if (message.complete || message.destroyed) return;
  let ignoredBytes = 0;
  message.on('data', (chunk: Buffer) => {
    ignoredBytes += chunk.length;
    if (ignoredBytes > MAX_IGNORED_BYTES) message.destroy();
  });
  message.resume();
};

/** Streams the body of a message with back-pressure and stops it after `maxBytes`. */
export const createRequestBody = (message: IncomingMessage, maxBytes: number): RequestBody => {
  let bytes = 0;
  let attached = false;
  let stream: Readable;

  const onData = (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) stream.destroy(new Error('the body is larger than the route allows'));
    else if (!stream.push(chunk)) message.pause();
  };
  const onEnd = () => stream.push(null);
  const onClose = () => {
    if (!message.complete) stream.destroy(new Error('the caller sent an incomplete body'));
  };
  const attach = () => {
    attached = true;
    message.on('data', onData);
    message.once('end', onEnd);
    message.once('close', onClose);
  };
  stream = new Readable({
    read: () => {
      if (!attached) attach();
      message.resume();
    },
    destroy: (error, done) => {
      message.off('data', onData);
      message.off('end', onEnd);
      message.off('close', onClose);
      ignoreRest(message);
      done(error);
    },
  });
  stream.on('error', () => undefined);
  return { stream, exceeded: () => bytes > maxBytes };
};

/**
 * Waits until a body has its first bytes or its end, so that they are written in the same
 * event-loop turn as the request's head.
 */
export const waitForBody = (
  body: Readable,
  { signal, deadlineAt }: BodyWait,
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
