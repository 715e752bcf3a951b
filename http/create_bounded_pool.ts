import type { Socket } from 'node:net';
import {
  buildConnector, Client, type Dispatcher, Pool,
} from 'undici';
import { noteResponse } from './last_responses.ts';

/** Options of a bounded pool. */
export interface BoundedPoolOptions {
  readonly connections?: number;
  readonly connectTimeoutMs?: number;
  /** Time in ms after which an idle connection is closed. */
  readonly keepAliveMs?: number;
  /** Largest body of a response in bytes; without it, a body may have any size. */
  readonly maxBodyBytes?: number;
  /** Called with each new connection, before undici adds its own listeners. */
  readonly onConnect?: (socket: Socket) => void;
}

/** Largest number of bytes read without a head or a part of a body; far above any framing. */
const MAX_FRAMING_BYTES = 524_288;
const MIN_FINAL_STATUS = 200;

interface ConnectionProgress {
  readonly socket: Socket;
  /** Whether a final head, a part of a body or the end of a response came since the last read. */
  hasProgress: boolean;
}

/** Marks the progress of the connection that `reading` returns when a response begins. */
const trackProgress = (
  handler: Dispatcher.DispatchHandler,
  reading: () => ConnectionProgress | undefined,
): Dispatcher.DispatchHandler => {
  let progress: ConnectionProgress | undefined;
  return {
    onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
    onRequestUpgrade: (controller, status, headers, socket) => (
      handler.onRequestUpgrade?.(controller, status, headers, socket)
    ),
    onResponseStart: (controller, status, headers, text) => {
      progress ??= reading();
      if (progress !== undefined && status >= MIN_FINAL_STATUS) {
        progress.hasProgress = true;
        noteResponse(controller, progress.socket);
      }
      return handler.onResponseStart?.(controller, status, headers, text);
    },
    onResponseData: (controller, chunk) => {
      if (progress !== undefined) progress.hasProgress = true;
      return handler.onResponseData?.(controller, chunk);
    },
    onResponseEnd: (controller, trailers) => {
      if (progress !== undefined) progress.hasProgress = true;
      return handler.onResponseEnd?.(controller, trailers);
    },
    onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
  };
};

/**
 * Creates a connection pool without pipelining. A connection that receives bytes while no request
 * runs on it, or too many that are no part of an answer, is closed.
 *
 * @param origin Scheme, host and port.
 * @param options Limits and timeouts.
 * @returns The pool.
 *
 * @example
 * const pool = createBoundedPool('http://127.0.0.1:9000', { connections: 6 });
 */
export const createBoundedPool = (
  origin: string | URL,
  options: BoundedPoolOptions = {},
): Dispatcher => {
  const {
    connections, connectTimeoutMs, keepAliveMs, maxBodyBytes, onConnect,
  } = options;
  const connect = buildConnector({ timeout: connectTimeoutMs });
  /** The connection that undici parses; a response always begins while its connection is read. */
  let reading: ConnectionProgress | undefined;

  const watch = (socket: Socket, client: Client) => {
    const progress: ConnectionProgress = { socket, hasProgress: false };
    /** Bytes that undici has parsed, and those of them up to the last part of an answer. */
    let parsedBytes = 0;
    let answerBytes = 0;
    // undici adds its listeners later, so this runs first.
    socket.on('readable', () => {
      reading = progress;
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
    onConnect?.(socket);
  };
  const createClient = (clientOrigin: URL, clientOptions: object) => {
    const client: Client = new Client(clientOrigin, {
      ...clientOptions,
      connect: (target, done) => connect(target, (...result) => {
        const [error, socket] = result;
        if (error === null) watch(socket, client);
        done(...result);
      }),
    });
    return client;
  };
  const pool = new Pool(origin, {
    connections,
    pipelining: 1,
    keepAliveTimeout: keepAliveMs,
    maxResponseSize: maxBodyBytes,
    factory: createClient,
  });
  return pool.compose((dispatch) => (request, handler) => (
    dispatch(request, trackProgress(handler, () => reading))
  ));
};
