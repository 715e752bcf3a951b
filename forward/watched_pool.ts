import { buildConnector, Pool } from 'undici';
import { findHeader } from './headers.ts';

/** A pool of connections that tells a broken answer from a complete one. */
export interface WatchedPool {
  readonly pool: Pool;
  /**
   * Tells, while the end of an answer is reported, why the answer is not complete. The HTTP client
   * takes the loss of a connection for the end of an answer after which it would be closed anyway.
   */
  readonly checkEnd: (rawHeaders: readonly string[]) => string | undefined;
}

/** Options of a pool. */
export interface WatchedPoolOptions {
  readonly connections: number;
  readonly connectTimeoutMs: number;
  /** Time in ms after which an idle connection is closed. */
  readonly keepAliveMs: number;
}

const isChunked = (raw: readonly string[]) => (
  findHeader(raw, 'transfer-encoding')?.toLowerCase().includes('chunked') === true
);

/**
 * Creates a pool with one request at a time on a connection.
 *
 * @param address Host and port.
 * @param options Number of connections and times.
 * @returns The pool and its check.
 *
 * @example
 * const { pool, checkEnd } = createWatchedPool('127.0.0.1:9000', options);
 */
export const createWatchedPool = (address: string, options: WatchedPoolOptions): WatchedPool => {
  const connect = buildConnector({ timeout: options.connectTimeoutMs });
  /** What happens to some connection in this turn of the event loop. */
  let isReset = false;
  let isEnded = false;
  const clear = () => {
    isReset = false;
    isEnded = false;
  };
  const pool = new Pool(`http://${address}`, {
    connections: options.connections,
    pipelining: 1,
    keepAliveTimeout: options.keepAliveMs,
    connect: (target, done) => connect(target, (...result) => {
      const [, socket] = result;
      // These listeners are called before those of the HTTP client, which are added later.
      socket?.on('error', () => {
        isReset = true;
        process.nextTick(clear);
      });
      socket?.on('end', () => {
        isEnded = true;
        process.nextTick(clear);
      });
      done(...result);
    }),
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
