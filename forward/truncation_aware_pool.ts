import {
  buildConnector, Client, type Dispatcher, Pool,
} from 'undici';
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

/** Largest number of bytes read without a head or a part of a body; far above any framing. */
const MAX_FRAMING_BYTES = 524_288;
const MIN_FINAL_STATUS = 200;

const isChunked = (raw: readonly string[]) => (
  findHeader(raw, 'transfer-encoding')?.toLowerCase().includes('chunked') === true
);

interface ConnectionProgress {
  /** Whether a request began, or a final head or a part of a body came, since the last read. */
  hasProgress: boolean;
}

/**
 * Creates a connection pool without pipelining that detects truncated responses. A connection that
 * receives bytes while no request runs on it, or too many that are no part of an answer, is closed.
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
  /** Progress of the connection on which a request runs. */
  const progressOf = new WeakMap<Dispatcher.DispatchOptions, ConnectionProgress>();
  const createClient = (origin: URL, clientOptions: object) => {
    const progress: ConnectionProgress = { hasProgress: false };
    const client: Client = new Client(origin, {
      ...clientOptions,
      connect: (target, done) => connect(target, (...result) => {
        const [, socket] = result;
        /** Bytes that undici has parsed, and those of them up to the last part of an answer. */
        let parsedBytes = 0;
        let answerBytes = 0;
        // undici adds its listeners later, so these run first.
        socket?.on('readable', () => {
          // undici skips line breaks before a response, however many there are.
          if (client.stats.running === 0) {
            if (socket.bytesRead > parsedBytes) socket.destroy();
            return;
          }
          if (progress.hasProgress) {
            progress.hasProgress = false;
            answerBytes = parsedBytes;
          } else if (parsedBytes - answerBytes > MAX_FRAMING_BYTES) {
            socket.destroy(new Error('too many bytes that are no part of an answer'));
          }
          parsedBytes = socket.bytesRead;
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
    const dispatch = client.dispatch.bind(client);
    client.dispatch = (request, handler) => {
      progressOf.set(request, progress);
      return dispatch(request, handler);
    };
    return client;
  };
  const pool = new Pool(`http://${address}`, {
    connections: options.connections,
    pipelining: 1,
    keepAliveTimeout: options.keepAliveMs,
    factory: createClient,
  });
  const dispatchToPool = pool.dispatch.bind(pool);
  pool.dispatch = (request, handler) => {
    const markProgress = () => {
      const progress = progressOf.get(request);
      if (progress !== undefined) progress.hasProgress = true;
    };
    return dispatchToPool(request, {
      ...handler,
      onRequestStart: (...args) => {
        markProgress();
        handler.onRequestStart?.(...args);
      },
      onResponseStart: (controller, status, ...args) => {
        if (status >= MIN_FINAL_STATUS) markProgress();
        handler.onResponseStart?.(controller, status, ...args);
      },
      onResponseData: (...args) => {
        markProgress();
        handler.onResponseData?.(...args);
      },
    });
  };
  return {
    pool,
    checkEnd: (raw) => {
      if (isReset) return 'the connection was reset within the answer';
      if (isEnded && isChunked(raw)) return 'the connection was closed within the answer';
      return undefined;
    },
  };
};
