import type { IncomingMessage } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import type { ConnectionEnds, EndedBy } from '../lifecycle/mod.ts';

/** Response of a model listener; `onClose` calls run after the connection took its next turn. */
export interface ModelResponse {
  shouldKeepAlive: boolean;
  /**
   * Hands the response over, which takes `flushMs`, and closes it after `closeMs` if that is later;
   * further calls do nothing.
   */
  readonly end: (flushMs: number, onSent: () => void, closeMs?: number) => void;
  /** Ends the connection, as a response that is cut does. */
  readonly cut: () => void;
  readonly isClosed: () => boolean;
  readonly onClose: (callback: () => void) => void;
}

/** Handles a request at its turn. */
export type ModelHandler = (response: ModelResponse, readAt: number) => void;

/** A request whose head is read. */
export interface ReadModelRequest {
  readonly handle: ModelHandler;
  readonly isLast: boolean;
  /** Time in ms until its body has arrived; no other request can be read before. */
  readonly bodyMs: number;
  /** Returns whether the connection may end after this request, if no other one was read. */
  readonly mayEndAfter: () => boolean;
}

/** Connection of a client to a model listener. */
export interface ModelConnection {
  readonly isOpen: () => boolean;
  /** Returns whether a request that is sent now is read. */
  readonly isReadable: () => boolean;
  /** Reads a request; after one that is the last, no other is read. */
  readonly read: (request: ReadModelRequest) => void;
  /** Reads the first bytes of a head whose rest never comes. */
  readonly readPartOfHead: () => void;
  /** Ends the connection from the side of the client. */
  readonly leave: () => void;
}

/** A listener with connections of its model. */
export interface ModelListener extends HttpListener {
  /** Opens a connection; undefined if the listener does not accept one. */
  readonly connect: () => ModelConnection | undefined;
  readonly wasBound: () => boolean;
  /** Delays the end of `stop`. */
  readonly slowDown: (delayMs: number) => void;
}

/** Options of {@link createModelListener}. */
export interface ModelListenerOptions {
  readonly clock: Pick<Clock, 'now' | 'schedule'>;
  readonly ends: ConnectionEnds;
  /** Whether idle connections get a final response at the stop. */
  readonly hasFinalResponse: boolean;
  readonly bindMs: number;
  readonly isBindFailing: boolean;
}

interface OpenResponse extends ModelResponse {
  readonly request: ReadModelRequest;
  readonly readAt: number;
  /** Whether a planned end of the connection was announced to the client before this request. */
  readonly isBehindEnd: boolean;
  readonly isStarted: () => boolean;
  readonly runCloseCallbacks: () => void;
}

interface ListenerState {
  isStopping: boolean;
  isGraceOver: boolean;
  readonly closeIdle: () => void;
}

interface OpenConnection extends ModelConnection {
  readonly endAfterLast: () => void;
  readonly closeIfIdle: () => void;
}

const IDLE_GRACE_MS = 40;
const FINAL_RESPONSE_LIMIT_MS = 300;

const createConnection = (
  { clock, ends, ...options }: ModelListenerOptions,
  listener: ListenerState,
  onClosed: () => void,
): OpenConnection => {
  const open = new Map<OpenResponse, () => void>();
  let waiting: OpenResponse[] = [];
  let current: OpenResponse | undefined;
  let isScheduled = false;
  let isLastRead = false;
  let isPartial = false;
  let bodyEndsAt = -Infinity;
  let isFinished = false;
  let isClosed = false;

  const close = (by: EndedBy, why: string) => {
    if (isClosed) return;
    isClosed = true;
    const cut = [...open];
    open.clear();
    waiting = [];
    for (const [, release] of cut) release();
    // The client learns from the response before them that these are not handled.
    const lost = cut.filter(([{ isBehindEnd }]) => !isBehindEnd);
    if (lost.length > 0) {
      ends.recordEnd({ by, why, requests: lost.map(() => ({}) as IncomingMessage) });
    }
    for (const [response] of cut) response.runCloseCallbacks();
    onClosed();
  };

  const runNext = () => {
    isScheduled = false;
    if (current !== undefined || isClosed) return;
    current = waiting.shift();
    if (current === undefined) return;
    const { request, readAt } = current;
    if (waiting.length === 0 && (listener.isStopping || request.mayEndAfter())) {
      current.shouldKeepAlive = false;
    }
    request.handle(current, readAt);
  };

  const finish = (response: OpenResponse) => {
    open.get(response)?.();
    open.delete(response);
    if (!response.shouldKeepAlive) close('unknown', 'a planned end');
    if (listener.isGraceOver) clock.schedule(0, listener.closeIdle);
    current = undefined;
    runNext();
    response.runCloseCallbacks();
  };

  const createResponse = (request: ReadModelRequest): OpenResponse => {
    const callbacks: (() => void)[] = [];
    let isEnded = false;
    const response: OpenResponse = {
      request,
      readAt: clock.now(),
      isBehindEnd: current?.isStarted() === true && !current.shouldKeepAlive,
      shouldKeepAlive: !request.isLast,
      isStarted: () => isEnded,
      isClosed: () => !open.has(response),
      onClose: (callback) => callbacks.push(callback),
      runCloseCallbacks: () => {
        for (const callback of callbacks) callback();
      },
      end: (flushMs, onSent, closeMs = 0) => {
        if (isEnded || isClosed) return;
        isEnded = true;
        clock.schedule(flushMs, () => {
          if (!isClosed) onSent();
        });
        clock.schedule(Math.max(flushMs, closeMs), () => {
          if (!isClosed) finish(response);
        });
      },
      cut: () => {
        if (ends.mayEnd('response cut', open.size)) close('node', 'response cut');
      },
    };
    return response;
  };

  const isIncomplete = () => isPartial || clock.now() < bodyEndsAt;

  return {
    isOpen: () => !isClosed,
    isReadable: () => !isClosed && !isFinished && !isLastRead && !isIncomplete(),
    read: (request) => {
      const response = createResponse(request);
      isLastRead = request.isLast;
      bodyEndsAt = clock.now() + request.bodyMs;
      open.set(response, ends.openRequest());
      if (current?.isStarted() === false) current.shouldKeepAlive = true;
      waiting.push(response);
      if (current !== undefined || isScheduled) return;
      isScheduled = true;
      queueMicrotask(runNext);
    },
    readPartOfHead: () => {
      isPartial = true;
    },
    leave: () => close('client', 'end'),
    endAfterLast: () => {
      if (waiting.length > 0 || current?.isStarted() !== false) return;
      current.shouldKeepAlive = false;
    },
    closeIfIdle: () => {
      if (isIncomplete() || isFinished) return;
      if (!ends.mayEnd('idle after the stop', open.size)) return;
      if (!options.hasFinalResponse) {
        close('node', 'idle after the stop');
        return;
      }
      isFinished = true;
      clock.schedule(FINAL_RESPONSE_LIMIT_MS, () => close('node', 'idle after the stop'));
    },
  };
};

/**
 * Creates a listener that keeps the contract of `createHttpServer` on a fake clock: requests of a
 * connection take turns, planned ends wait for the last response, and `stop` ends idle connections
 * and resolves with the last one.
 *
 * @param options Clock, owner of the ends, and decisions of the listener.
 * @returns The listener, which is not bound yet.
 */
export const createModelListener = (options: ModelListenerOptions): ModelListener => {
  const { clock } = options;
  const connections = new Set<OpenConnection>();
  let isBound = false;
  let isClosing = false;
  let slowMs = 0;
  let resolveEmpty = () => undefined as void;
  const resolveIfEmpty = () => {
    if (isClosing && connections.size === 0) resolveEmpty();
  };
  const sleep = (delayMs: number) => new Promise<void>((resolve) => {
    clock.schedule(delayMs, resolve);
  });
  const state: ListenerState = {
    isStopping: false,
    isGraceOver: false,
    closeIdle: () => {
      for (const connection of [...connections]) connection.closeIfIdle();
    },
  };

  return {
    listen: async () => {
      if (state.isStopping) throw new Error('the listener has been stopped');
      await sleep(options.bindMs);
      if (options.isBindFailing) throw new Error('the address is in use');
      isBound = true;
      return '';
    },
    isListening: () => isBound && !state.isStopping,
    stop: async () => {
      if (state.isStopping) return;
      state.isStopping = true;
      if (!isBound) return;
      for (const { endAfterLast } of connections) endAfterLast();
      await sleep(0);
      isClosing = true;
      const empty = new Promise<void>((resolve) => {
        resolveEmpty = resolve;
      });
      resolveIfEmpty();
      clock.schedule(IDLE_GRACE_MS, () => {
        state.isGraceOver = true;
        state.closeIdle();
      });
      await empty;
      if (slowMs > 0) await sleep(slowMs);
    },
    readArrived: async () => 0,
    closeIdle: state.closeIdle,
    kill: () => {
      state.isStopping = true;
      isClosing = true;
    },
    wasBound: () => isBound,
    connect: () => {
      if (!isBound || isClosing) return undefined;
      const connection = createConnection(options, state, () => {
        connections.delete(connection);
        resolveIfEmpty();
      });
      connections.add(connection);
      return connection;
    },
    slowDown: (delayMs) => {
      slowMs = delayMs;
    },
  };
};
