import { createServer, type Server } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { HttpServerOptions } from './http_server_options.ts';

export const HEADERS_TIMEOUT_MS = 10_000;
/** Also limits how long `stop` waits for a connection that never completes its handshake. */
const HANDSHAKE_TIMEOUT_MS = 2000;
export const CONNECTION_CHECK_INTERVAL_MS = 1000;
export const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Creates the server of Node.js that reads the requests. */
export const createNodeServer = (
  { maxHeaderBytes, tls, keepsHalfOpen }: HttpServerOptions,
): Server => {
  const serverOptions = {
    maxHeaderSize: maxHeaderBytes,
    requireHostHeader: false,
    insecureHTTPParser: false,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 0,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
  };
  const server = tls === undefined ? createServer(serverOptions) : createTlsServer({
    ...serverOptions,
    ...tls,
    requestCert: true,
    rejectUnauthorized: true,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
  });
  // Node.js silently drops headers beyond this count; `maxHeaderSize` already limits them.
  server.maxHeadersCount = 0;
  if (keepsHalfOpen !== undefined) {
    // Node.js reads this property whenever a client ends its side of a connection.
    Object.defineProperty(server, 'httpAllowHalfOpen', { get: keepsHalfOpen });
  }
  return server;
};
