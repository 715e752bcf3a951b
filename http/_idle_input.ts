import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../clock/mod.ts';

/** What is known of the requests of a connection. */
export interface ConnectionInput {
  /** Number of requests whose head was read. */
  readonly requestCount: number;
  /** Last request whose head was read; may be missing once its end was read too. */
  readonly unreadRequest?: IncomingMessage | undefined;
  /** Number of responses that have not been sent to their end. */
  readonly responses: { readonly size: number };
}

/** Limits on the input of a connection without a request. */
export interface IdleInputLimits {
  readonly maxBytes: number;
  /** Time in ms after which a connection is closed that sent something, but no request. */
  readonly maxMs: number;
}

interface IdleSpan {
  readonly requestCount: number;
  readonly startedAt: number;
  readonly startBytes: number;
}

/**
 * Creates a check, to be made at intervals, that finds connections which send bytes but begin no
 * request. Node.js skips line breaks before a request and restarts its idle timeout at each.
 *
 * @param clock Clock of the time limit.
 * @param limits Limits on the input.
 * @returns The check.
 *
 * @example
 * const check = createIdleInputCheck(clock, { maxBytes: 131_072, maxMs: 85_000 });
 * if (check(socket, input)) socket.destroy();
 */
export const createIdleInputCheck = (clock: Clock, limits: IdleInputLimits) => {
  const spans = new WeakMap<Socket, IdleSpan>();
  return (socket: Socket, input: ConnectionInput): boolean => {
    if (input.responses.size > 0 || input.unreadRequest?.complete === false) {
      spans.delete(socket);
      return false;
    }
    const span = spans.get(socket);
    if (span === undefined || span.requestCount !== input.requestCount) {
      const { requestCount } = input;
      spans.set(socket, { requestCount, startedAt: clock.now(), startBytes: socket.bytesRead });
      return false;
    }
    const bytes = socket.bytesRead - span.startBytes;
    const isLate = bytes > 0 && clock.now() - span.startedAt > limits.maxMs;
    return isLate || bytes > limits.maxBytes;
  };
};
