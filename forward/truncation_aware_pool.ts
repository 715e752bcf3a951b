import { buildConnector, Client, Pool } from 'undici';
import { findHeader } from './headers.ts';

/** A connection pool that detects truncated responses and closes misused idle connections. */
export interface TruncationAwarePool {
  readonly pool: Pool;
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
}

const isChunked = (raw: readonly string[]) => (
  findHeader(raw, 'transfer-encoding')?.toLowerCase().includes('chunked') === true
);

/**
 * Creates a connection pool without pipelining that detects truncated responses. A connection that
 * receives bytes while no request runs on it is closed.
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
  const connect = buildConnector({ timeout: options.connectTimeoutMs });
  /** Whether some connection was reset or ended in the current turn of the event loop. */
  let isReset = false;
  let isEnded = false;
  const clearFlags = () => {
    isReset = false;
    isEnded = false;
  };
  const createClient = (origin: URL, clientOptions: object) => {
    const client: Client = new Client(origin, {
      ...clientOptions,
      connect: (target, done) => connect(target, (...result) => {
        const [, socket] = result;
        let expectedBytes = 0;
        // undici adds its listeners later, so these run first.
        socket?.on('readable', () => {
          // undici skips line breaks before a response, however many there are.
          if (client.stats.running > 0) expectedBytes = socket.bytesRead;
          else if (socket.bytesRead > expectedBytes) socket.destroy();
        });
        socket?.on('error', () => {
          isReset = true;
          process.nextTick(clearFlags);
        });
        socket?.on('end', () => {
          isEnded = true;
          // libuv reports a reset that arrives right after data as the end of the connection; the
          // socket then has no remote address any more.
          if (socket.remoteAddress === undefined) isReset = true;
          process.nextTick(clearFlags);
        });
        done(...result);
      }),
    });
    return client;
  };
  const pool = new Pool(`http://${address}`, {
    connections: options.connections,
    pipelining: 1,
    keepAliveTimeout: options.keepAliveMs,
    factory: createClient,
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
