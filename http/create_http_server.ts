import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { CancelTask } from '../clock/mod.ts';
import { type NodeEndReason, unrecordedEnds } from '../lifecycle/mod.ts';
import { createAcceptGate } from './_accept_gate.ts';
import {
  type ConnectionState, createConnectionState, findLastComplete,
} from './_connection_state.ts';
import {
  findEndCause, isInputError, noteEndCause, noteEndReason,
} from './_end_causes.ts';
import {
  CONNECTION_CHECK_INTERVAL_MS, createNodeServer, HEADERS_TIMEOUT_MS, KEEP_ALIVE_TIMEOUT_MS,
} from './_create_node_server.ts';
import { createIdleInputCheck } from './_idle_input.ts';
import { createRequestTurns } from './_request_turns.ts';
import { createServerStop } from './_server_stop.ts';
import { noteHalfOpen } from './half_open.ts';
import type { Expectation, HttpListener, HttpServerOptions } from './http_server_options.ts';
import { splitAddress } from './split_address.ts';

/** Limits the wait for a client to close its connection after the final response. */
const FINAL_RESPONSE_LIMIT_MS = 300;
/** Limits the input that is read and discarded while requests before it are answered. */
const MAX_BYTES_AFTER_ERROR = 65_536;
/** Largest number of bytes beyond a head that a connection without a request may send. */
const MAX_IDLE_INPUT_BYTES = 65_536;

const statusByErrorCode: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Creates an HTTP/1.1 server with graceful shutdown.
 *
 * @param options Address, limits and handlers.
 * @returns The listener, which does not listen yet.
 *
 * @example
 * const listener = createHttpServer({ clock, address: '127.0.0.1:0', handle, ...limits });
 * const address = await listener.listen();
 */
export const createHttpServer = (options: HttpServerOptions): HttpListener => {
  const { clock, ends = unrecordedEnds } = options;
  const connections = new Map<Socket, ConnectionState>();
  /** All TCP connections, including those that have not completed their TLS handshake. */
  const sockets = new Set<Socket>();
  let acceptedCount = 0;
  let readCount = 0;
  let isStopping = false;
  let isBound = false;
  let isGraceOver = false;
  let cancelInputCheck: CancelTask = () => undefined;
  const checkIdleInput = createIdleInputCheck(clock, {
    maxBytes: options.maxHeaderBytes + MAX_IDLE_INPUT_BYTES,
    // A head that begins within the idle timeout has its own timeout.
    maxMs: KEEP_ALIVE_TIMEOUT_MS + HEADERS_TIMEOUT_MS,
  });

  const server = createNodeServer(options);
  const gate = createAcceptGate(server);

  /** Ends a connection if its open requests allow it. */
  const endConnection = (
    socket: Socket,
    state: ConnectionState,
    reason: NodeEndReason,
    end: () => void = () => socket.destroy(),
  ) => {
    if (!ends.mayEnd(reason, state.responses.size)) return;
    noteEndReason(socket, reason);
    end();
  };

  /** `http.Server.closeIdleConnections` would cut responses that are not sent to their end. */
  const closeIdleConnections = () => {
    for (const [socket, state] of connections) {
      if (socket.bytesRead !== state.requestsEndAt) continue;
      const { renderFinal } = options;
      const end = renderFinal && (() => {
        if (state.isFinished) return;
        // The other direction stays open, since closing it would reset a request in transit.
        state.isFinished = true;
        socket.end(renderFinal());
        const cancel = clock.schedule(FINAL_RESPONSE_LIMIT_MS, () => socket.destroy());
        socket.once('close', cancel);
      });
      endConnection(socket, state, 'idle after the stop', end);
    }
  };

  const accept = (expect: Expectation) => (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    readCount += 1;
    const state = connections.get(socket);
    if (state === undefined || state.isFinished) {
      request.resume();
      return;
    }
    state.responses.set(response, ends.openRequest());
    state.requestCount += 1;
    state.unreadRequest = request;
    const markEnd = () => {
      state.requestsEndAt = socket.bytesRead;
      if (isGraceOver) setImmediate(closeIdleConnections);
    };
    request.once('close', markEnd);
    response.once('close', () => {
      state.responses.get(response)?.();
      state.responses.delete(response);
      if (state.lastResponse === response) {
        endConnection(socket, state, 'after the last response', () => {
          socket.end(() => socket.destroy());
        });
      }
      markEnd();
    });
    const { handle, refuseWithoutRoom = handle } = options;
    const hasRoom = options.hasRoom?.(request) !== false;
    // Its body would take room until its turn.
    if (!hasRoom) request.resume();
    state.turns.add({
      request,
      response,
      expect,
      readAt: clock.now(),
      handle: hasRoom ? handle : refuseWithoutRoom,
    });
  };

  const turnsOptions = {
    mayEndAfter: (request: IncomingMessage) => (
      isStopping || options.mayEndAfter?.(request) === true
    ),
    onDiscard: (requests: readonly IncomingMessage[]) => options.onDiscard?.(requests),
    onHandleError: options.onHandleError,
  };

  server.on('connection', (socket: Socket) => {
    acceptedCount += 1;
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on(options.tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => {
    const state = createConnectionState(createRequestTurns(socket, turnsOptions));
    connections.set(socket, state);
    socket.on('error', (error) => noteEndCause(socket, error));
    socket.once('end', () => {
      if (options.keepsHalfOpen?.() !== true || !socket.writable) return;
      if (state.responses.size === 0) return;
      noteHalfOpen(socket);
      state.turns.endAfterLast();
    });
    // Before the close of the response, which takes it out of the responses of the connection.
    socket.once('close', () => {
      connections.delete(socket);
      const open = [...state.responses].filter(([response]) => !response.writableFinished);
      for (const close of state.responses.values()) close();
      state.responses.clear();
      if (open.length === 0) return;
      ends.recordEnd({
        ...findEndCause(socket), requests: open.map(([{ req }]) => req),
      });
    });
  });
  server.on('request', accept('none'));
  server.on('checkContinue', accept('continue'));
  server.on('checkExpectation', accept('other'));
  server.on('connect', (_, socket) => {
    const state = connections.get(socket as Socket);
    if (state === undefined) {
      socket.destroy();
      return;
    }
    // Node.js detaches the socket from its HTTP parser, with all listeners to its errors, its end
    // and its drain; without a reader the close of the client goes unnoticed.
    socket.on('error', () => socket.destroy());
    socket.on('drain', () => {
      const [current] = state.responses.keys();
      current?.emit('drain');
    });
    socket.resume();
    state.turns.runAfterLast(() => {
      if (socket.writable) socket.end(options.renderMalformed(501, false), () => socket.destroy());
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const state = connections.get(socket as Socket);
    if (state === undefined) {
      // The TLS handshake failed, so no HTTP response can be sent.
      socket.destroy();
      return;
    }
    if (state.lastResponse !== undefined && isInputError(error.code)) {
      const discardedBytes = (socket as Socket).bytesRead - state.errorAt;
      if (discardedBytes > MAX_BYTES_AFTER_ERROR) {
        endConnection(socket as Socket, state, 'too much invalid input');
      }
      return;
    }
    const lastComplete = findLastComplete(state.responses);
    const isEnd = error.code === 'HPE_INVALID_EOF_STATE' && options.keepsHalfOpen?.() === true;
    if (socket.writable && lastComplete !== undefined && (isInputError(error.code) || isEnd)) {
      state.lastResponse = lastComplete;
      state.errorAt = (socket as Socket).bytesRead;
      if (!lastComplete.headersSent) lastComplete.shouldKeepAlive = false;
      return;
    }
    let dispatched = false;
    let isResponseStarted = false;
    for (const response of state.responses.keys()) {
      dispatched = true;
      isResponseStarted ||= response.headersSent;
    }
    // Any other error tells that the client has left.
    if (!isInputError(error.code)) noteEndCause(socket as Socket, error);
    if (socket.writable && !isResponseStarted && error.code !== 'ECONNRESET') {
      const status = statusByErrorCode[error.code ?? ''] ?? 400;
      endConnection(socket as Socket, state, 'invalid input', () => {
        socket.end(options.renderMalformed(status, dispatched), () => socket.destroy());
      });
    } else endConnection(socket as Socket, state, 'invalid input');
  });

  const checkInput = () => {
    for (const [socket, state] of connections) {
      if (state.unreadRequest?.complete === true) state.unreadRequest = undefined;
      if (checkIdleInput(socket, state)) endConnection(socket, state, 'input without a request');
    }
    cancelInputCheck = clock.schedule(CONNECTION_CHECK_INTERVAL_MS, checkInput);
  };

  const listen = () => new Promise<string>((resolve, reject) => {
    if (isStopping) throw new Error('the listener has been stopped');
    const { host, port } = splitAddress(options.address);
    // Without a handler, the error of a connection that cannot be accepted would end the process.
    server.on('error', (error) => {
      if (isBound) options.onAcceptError?.(error);
      else reject(error);
    });
    server.listen(port, host, () => {
      isBound = true;
      checkInput();
      const bound = server.address() as AddressInfo;
      resolve(`${bound.family === 'IPv6' ? `[${bound.address}]` : bound.address}:${bound.port}`);
    });
  });

  const { close, readArrived } = createServerStop({
    clock,
    server,
    gate,
    idleGraceMs: options.idleGraceMs,
    acceptedCount: () => acceptedCount,
    readCount: () => readCount,
    openConnections: () => sockets.size,
    onIdleGraceOver: () => {
      isGraceOver = true;
      closeIdleConnections();
    },
  });

  const stop = async () => {
    if (isStopping) return;
    isStopping = true;
    if (!server.listening) return;
    for (const { turns } of connections.values()) turns.endAfterLast();
    await close();
    cancelInputCheck();
    server.close(() => undefined);
  };

  const kill = () => {
    isStopping = true;
    cancelInputCheck();
    server.close(() => undefined);
    for (const socket of sockets) {
      noteEndReason(socket, 'killed');
      socket.destroy();
    }
  };

  return {
    listen,
    isListening: () => server.listening && !isStopping,
    stop,
    readArrived,
    closeIdle: closeIdleConnections,
    kill,
  };
};
