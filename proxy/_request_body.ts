import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

/** A request's body as a stream of its own, so that a failed hop does not end the connection. */
export interface RequestBody {
  readonly stream: Readable;
  /** More bytes came than the route allows. */
  readonly exceeded: () => boolean;
}

/** Tells whether a request announces a body. */
export const hasBody = (message: IncomingMessage): boolean => (
  message.headers['transfer-encoding'] !== undefined
  || Number(message.headers['content-length'] ?? 0) > 0
);

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
export const waitForBody = (body: Readable, signal: AbortSignal): Promise<void> => (
  new Promise((resolve) => {
    const isSettled = () => body.readableLength > 0 || body.readableEnded || body.destroyed;
    if (isSettled() || signal.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      body.off('readable', finish);
      body.off('close', finish);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    body.on('readable', finish);
    body.on('close', finish);
    signal.addEventListener('abort', finish);
  })
);
