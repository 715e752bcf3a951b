import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net';
import type { Clock } from '../clock/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';

/** A listener for HTTP requests. */
export interface HttpListener {
  /** Starts to listen; resolves to host and port. */
  readonly listen: () => Promise<string>;
  /** Accepts nothing new, finishes what is in flight, closes idle connections and resolves. */
  readonly stop: () => Promise<void>;
  /** Cuts all connections at once, as the loss of the process does. */
  readonly kill: () => void;
}

export interface HttpServerOptions {
  readonly clock: Clock;
  /** Host and port; port 0 takes a free one. */
  readonly address: string;
  readonly maxHeaderBytes: number;
  /** Time in ms after a stop during which requests on open connections are still served. */
  readonly idleGraceMs: number;
  /** With these, clients must present a certificate that the authority signed. */
  readonly tls?: TlsMaterial;
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
    expect: Expectation,
  ) => void;
  /** Answers input that is not valid HTTP, as a whole HTTP message; undefined sends nothing. */
  readonly renderMalformed: (status: number, dispatched: boolean) => string;
}

/** What the request's `Expect` header asks for. */
export type Expectation = 'none' | 'continue' | 'other';

const HEADERS_TIMEOUT_MS = 10_000;
/** Also bounds the time that a stop waits for a connection that never finishes its handshake. */
const HANDSHAKE_TIMEOUT_MS = 2000;
const CHECK_INTERVAL_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

const malformedStatuses: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Splits an address into host and port. */
export const splitAddress = (address: string) => {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[(.*)\]$/u, '$1');
  return { host, port: Number(address.slice(separator + 1)) };
};

/** Creates an HTTP/1.1 server with a graceful stop. */
export const createHttpServer = (options: HttpServerOptions): HttpListener => {
  const { clock } = options;
  /** Answers in flight by connection; a connection without one is idle. */
  const connections = new Map<Socket, Set<ServerResponse>>();
  /** All TCP connections, including those that have not finished their TLS handshake. */
  const sockets = new Set<Socket>();
  let stopping = false;
  let graceEnded = false;

  const serverOptions = {
    maxHeaderSize: options.maxHeaderBytes,
    requireHostHeader: false,
    insecureHTTPParser: false,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 0,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
  };
  const server = options.tls === undefined ? createServer(serverOptions) : createTlsServer({
    ...serverOptions,
    ...options.tls,
    requestCert: true,
    rejectUnauthorized: true,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
  });
  // Node drops headers beyond this count silently; the size limit bounds them already.
  server.maxHeadersCount = 0;

  const closeIdle = () => {
    server.closeIdleConnections();
    // Node counts a connection that has not sent a byte as active. A TLS handshake does not count.
    for (const socket of connections.keys()) {
      if (socket.bytesRead === 0) socket.destroy();
    }
  };

  const accept = (expect: Expectation) => (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    const active = connections.get(socket);
    active?.add(response);
    if (stopping) response.shouldKeepAlive = false;
    response.once('close', () => {
      active?.delete(response);
      if (graceEnded) setImmediate(closeIdle);
    });
    options.handle(request, response, expect);
  };

  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on(options.tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
    connections.set(socket, new Set());
    socket.once('close', () => connections.delete(socket));
  });
  server.on('request', accept('none'));
  server.on('checkContinue', accept('continue'));
  server.on('checkExpectation', accept('other'));
  server.on('connect', (_, socket) => {
    // Node hands the connection over: nobody else reads it, nor notices that the client closed it.
    socket.resume();
    socket.end(options.renderMalformed(501, false), () => socket.destroy());
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const active = connections.get(socket as Socket);
    if (active === undefined) {
      // The TLS handshake failed, so that no HTTP answer can be sent.
      socket.destroy();
      return;
    }
    let dispatched = false;
    let begun = false;
    for (const response of active) {
      dispatched = true;
      begun ||= response.headersSent;
    }
    if (socket.writable && !begun && error.code !== 'ECONNRESET') {
      const status = malformedStatuses[error.code ?? ''] ?? 400;
      socket.end(options.renderMalformed(status, dispatched), () => socket.destroy());
    } else socket.destroy();
  });

  const listen = () => new Promise<string>((resolve, reject) => {
    const { host, port } = splitAddress(options.address);
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const bound = server.address() as AddressInfo;
      resolve(`${bound.family === 'IPv6' ? `[${bound.address}]` : bound.address}:${bound.port}`);
    });
  });

  const stop = async () => {
    if (stopping || !server.listening) return;
    stopping = true;
    for (const active of connections.values()) {
      for (const response of active) {
        if (!response.headersSent) response.shouldKeepAlive = false;
      }
    }
    // `http.Server.close` would cut requests that are on their way on idle connections.
    const closed = new Promise<void>((resolve) => {
      NetServer.prototype.close.call(server, () => resolve());
    });
    const cancelGrace = clock.schedule(options.idleGraceMs, () => {
      graceEnded = true;
      closeIdle();
    });
    await closed;
    cancelGrace();
    server.close(() => undefined);
  };

  const kill = () => {
    stopping = true;
    server.close(() => undefined);
    server.closeAllConnections();
    for (const socket of sockets) socket.destroy();
  };

  return { listen, stop, kill };
};
