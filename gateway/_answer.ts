import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RefusalError } from '../errors/mod.ts';

/** A closed connection is read one turn after the last bytes, and reported in the next one. */
const PENDING_TURNS = 2;

/** Aborts when the other end closes its connection before the answer is complete. */
export const abortOnClose = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
};

/**
 * Lets the event loop read what its sockets have received. A process that was slow finds requests
 * and the closing of their connections at the same time, and must not run the former.
 */
export const readPendingEvents = async (): Promise<void> => {
  for (let turn = 0; turn < PENDING_TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

/** Describes a refusal to a caller; the text names the step and the peer. */
export const describeRefusal = ({ message, outcome }: RefusalError): string => (
  JSON.stringify({ error: message, outcome })
);

/** Ends a response with a short JSON text, or none, unless its connection has gone. */
export const answerText = (
  response: ServerResponse,
  status: number,
  headers: readonly string[],
  text: string,
): void => {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, [
    ...headers,
    ...(text === '' ? [] : ['content-type', 'application/json']),
    'content-length', String(Buffer.byteLength(text)),
  ]);
  response.end(text);
};

/** Asks for the body of a caller that waits for permission to send it. */
export const allowBody = (expect: 'none' | 'continue' | 'other', response: ServerResponse) => {
  if (expect === 'continue') response.writeContinue();
};

/** First value of a header of a message. */
export const headerOf = (message: IncomingMessage, name: string): string | undefined => {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
};
