import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { createBoundedPool } from '../http/mod.ts';
import { findHeader } from './headers.ts';

/** A connection pool that detects truncated responses and closes misused connections. */
export interface TruncationAwarePool {
  readonly pool: Dispatcher;
  /**
   * Returns why a response is truncated, or undefined if it is complete; valid only while undici
   * reports the end of the response. undici takes the loss of a connection for the end of a
   * response after which the connection would close anyway.
   */
  readonly checkEnd: (rawHeaders: readonly string[]) => string | undefined;
}

/** Options of a connection pool. */
export interface TruncationAwarePoolOptions {
  readonly connections: number;
  readonly connectTimeoutMs: number;
  /** Time in ms after which an idle connection is closed. */
  readonly keepAliveMs: number;
  /** Called with each new connection. */
  readonly onConnect?: (socket: Socket) => void;
}

const isChunked = (raw: readonly string[]) => (
  findHeader(raw, 'transfer-encoding')?.toLowerCase().includes('chunked') === true
);

/**
 * Creates a bounded connection pool that detects truncated responses.
 *
 * @param address Host and port.
 * @param options Connection limit and timeouts.
 * @returns The pool and the check for truncated responses.
 *
 * @example
 * const { pool, checkEnd } = createTruncationAwarePool('127.0.0.1:9000', options);
 */
export const createTruncationAwarePool = (
  address: string,
  options: TruncationAwarePoolOptions,
): TruncationAwarePool => {
  /** Whether some connection was reset or ended in the current turn of the event loop. */
  let isReset = false;
  let isEnded = false;
  const clearFlags = () => {
    isReset = false;
    isEnded = false;
  };
  const pool = createBoundedPool(`http://${address}`, {
    ...options,
    onConnect: (socket) => {
      options.onConnect?.(socket);
      socket.on('error', () => {
        isReset = true;
        process.nextTick(clearFlags);
      });
      socket.on('end', () => {
        isEnded = true;
        // libuv reports a reset that arrives right after data as the end of the connection; the
        // socket then has no remote address any more.
        if (socket.remoteAddress === undefined) isReset = true;
        process.nextTick(clearFlags);
      });
    },
  });
  return {
    pool,
    checkEnd: (raw) => {
      if (isReset) return 'the connection was reset within the answer';
      if (isEnded && isChunked(raw)) return 'the connection was closed within the answer';
      return undefined;
    },
  };
};
