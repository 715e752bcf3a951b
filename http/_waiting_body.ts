import type { IncomingMessage } from 'node:http';
import { createChunkJoiner } from '../bytes/mod.ts';

/**
 * Joins the small chunks of the body of a request that waits for its turn. Node.js keeps each chunk
 * of a read of the socket as an object of its own, over 10,000 in 64 KiB, until the body is read.
 *
 * @param request The request, of whose body nothing was read.
 *
 * @example
 * server.on('request', (request) => joinWaitingBody(request));
 */
export const joinWaitingBody = (request: IncomingMessage): void => {
  const push = request.push.bind(request);
  let pendingBytes = 0;
  // Node.js runs microtasks after each chunk that its parser finds.
  const joiner = createChunkJoiner((chunk) => {
    pendingBytes = 0;
    push(chunk);
  }, setImmediate);
  Object.assign(request, {
    push: (chunk: Buffer | null) => {
      if (chunk === null) {
        joiner.flush();
        return push(null);
      }
      pendingBytes += chunk.length;
      joiner.add(chunk);
      return request.readableLength + pendingBytes < request.readableHighWaterMark;
    },
  });
};
