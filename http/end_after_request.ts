import type { ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.ts';

const MAX_DISCARD_MS = 500;

/**
 * Ends a response that has been written before its request was read to the end. The rest of the
 * request is discarded first, for 500 ms at most, since a close with unread bytes resets the
 * connection, and the reset can discard the response.
 *
 * @param clock Clock of the limit.
 * @param response The written response.
 *
 * @example
 * response.write(text);
 * endAfterRequest(clock, response);
 */
export const endAfterRequest = (clock: Clock, response: ServerResponse): void => {
  const message = response.req;
  const end = () => {
    response.end();
  };
  const cancel = clock.schedule(MAX_DISCARD_MS, end);
  message.once('end', end);
  response.once('close', cancel);
  message.resume();
};
