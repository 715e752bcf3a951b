import type { Clock } from '../clock/mod.ts';
import type { ShutdownTracker } from '../gateway/mod.ts';
import type {
  ModelConnection, ModelHandler, ModelListener, ModelResponse,
} from './_test_model_listener.ts';

/** Listener with requests that the graceful stop waits for. */
export type ServingName = 'peer' | 'caller';

/** A request as its client and its instance see it; times are in ms. */
export interface ModelWork {
  readonly timeoutMs: number;
  readonly workMs: number;
  readonly bodyMs: number;
  /** Time until the response has been handed to the operating system. */
  readonly flushMs: number;
  /** Whether no other request is sent on its connection. */
  readonly isLast: boolean;
}

type Result = 'answered' | 'not run' | 'unknown';

interface ModelRequest {
  readonly id: number;
  readonly work: ModelWork;
  readonly connection: ModelConnection;
  readonly listener: ServingName;
  /** Request that made this one as a nested call. */
  readonly parent: ModelRequest | undefined;
  /** Whether its connection is known to carry nested calls alone. */
  readonly isKnownCall: boolean;
  response?: ModelResponse;
  isAccepted: boolean;
  isRun: boolean;
  /** The client has left, or the instance broke off its response. */
  isLost: boolean;
  result?: Result;
  isComplete: boolean;
  /** Deadline that the node keeps to. */
  deadlineAt: number;
  readonly bodyEndsAt: number;
}

/** Events of clients, peers and instances. */
export interface ModelRequests {
  /** Sends a request on a kept connection, or on a new one if there is none. */
  readonly send: (to: ServingName, kept: number | undefined, work: ModelWork) => void;
  /**
   * Sends a call of a request that an instance runs, with the deadline of that request. `isKnown`:
   * its connection is known for calls.
   */
  readonly callNested: (
    index: number, kept: number | undefined, work: ModelWork, isKnown: boolean,
  ) => void;
  /** Sends a control message from a peer. */
  readonly sendControl: (kept: number | undefined, work: ModelWork) => void;
  /** Ends a connection by its client. */
  readonly leave: (index: number) => void;
  /** Reads the first bytes of a head whose rest never comes. */
  readonly readPartOfHead: (index: number) => void;
  /** Breaks off the response to a request that an instance runs. */
  readonly cut: (index: number) => void;
  /** Reports the accepted requests that lose their response if the process exits now. */
  readonly checkExit: () => void;
}

/** Options of {@link createModelRequests}. */
export interface ModelRequestsOptions {
  readonly clock: Pick<Clock, 'now' | 'schedule'>;
  readonly shutdown: ShutdownTracker;
  readonly listeners: Readonly<Record<ServingName, ModelListener>>;
  /** Called when a listener accepts a connection. */
  readonly onConnect: (to: ServingName) => void;
  readonly report: (violation: string) => void;
}

/** Longest time in which the rest of a body is read and discarded. */
const MAX_DISCARD_MS = 500;

const nameOf = ({ id, listener }: ModelRequest) => `request ${id} (${listener})`;

const pick = <Item>(items: readonly Item[], index: number) => (
  items[index % Math.max(1, items.length)]
);

/**
 * Creates the clients, peers and instances of a node, and the decisions of its two listeners for
 * requests.
 *
 * @param options Clock, shutdown tracker, listeners, and callbacks.
 * @returns The events, without requests.
 */
export const createModelRequests = (options: ModelRequestsOptions): ModelRequests => {
  const {
    clock, shutdown, listeners, report,
  } = options;
  const requests: ModelRequest[] = [];
  const connections: Record<ServingName, ModelConnection[]> = { peer: [], caller: [] };

  const isAccepting = () => ['running', 'leaving'].includes(shutdown.phase());

  const respond = (request: ModelRequest, response: ModelResponse, result: Result) => {
    if (response.isClosed() || request.result !== undefined) return;
    request.result = result;
    if (result === 'not run' && request.isRun) report(`${nameOf(request)} ran, told 'not run'`);
    const bodyLeftMs = Math.max(0, request.bodyEndsAt - clock.now());
    // The rest of the body is discarded before the connection ends.
    const closeMs = response.shouldKeepAlive ? 0 : Math.min(bodyLeftMs, MAX_DISCARD_MS);
    response.end(request.work.flushMs, () => {
      request.isComplete = true;
    }, closeMs);
  };

  /** The parent runs, and its response is awaited. */
  const isProvenCall = ({ parent, isKnownCall }: ModelRequest) => (
    isKnownCall && parent !== undefined && parent.isRun && parent.result === undefined
    && parent.response?.isClosed() === false && parent.deadlineAt > clock.now()
  );

  const accept = (request: ModelRequest, response: ModelResponse, deadlineAt: number) => {
    if (shutdown.phase() === 'closing' && !isProvenCall(request)) {
      report(`${nameOf(request)} is accepted while the node closes`);
    }
    if (shutdown.phase() === 'closed') report(`${nameOf(request)} is accepted after the close`);
    request.isAccepted = true;
    response.onClose(shutdown.trackRequest(deadlineAt));
  };

  const checkRefusal = (request: ModelRequest) => {
    const { id, parent } = request;
    if (parent === undefined || !isProvenCall(request)) return;
    if (parent.deadlineAt > shutdown.answerBy() || shutdown.answerBy() <= clock.now()) return;
    report(`nested call ${id} is refused during ${nameOf(parent)}`);
  };

  const runAtInstance = (request: ModelRequest, response: ModelResponse) => {
    const leftMs = request.deadlineAt - clock.now();
    request.isRun = leftMs > 0;
    clock.schedule(request.work.workMs, () => {
      if (clock.now() < request.deadlineAt) respond(request, response, 'answered');
    });
    clock.schedule(leftMs, () => respond(request, response, 'unknown'));
  };

  /** Reads the body until the deadline, and then runs the request if the node still may. */
  const readBody = (request: ModelRequest, response: ModelResponse, mayRun: () => boolean) => {
    const { bodyEndsAt, deadlineAt } = request;
    // A body that arrived while the request waited for its turn is there, whatever its deadline.
    const isLate = bodyEndsAt > Math.max(clock.now(), deadlineAt);
    const onRead = () => {
      if (response.isClosed()) return;
      if (isLate) response.shouldKeepAlive = false;
      if (!isLate && mayRun()) runAtInstance(request, response);
      else respond(request, response, 'not run');
    };
    if (bodyEndsAt <= clock.now()) queueMicrotask(onRead);
    else clock.schedule(Math.min(bodyEndsAt, deadlineAt) - clock.now(), onRead);
  };

  const handlers: Readonly<Record<ServingName, (request: ModelRequest) => ModelHandler>> = {
    caller: (request) => (response, readAt) => {
      const deadlineAt = readAt + request.work.timeoutMs;
      const bounded = Math.min(deadlineAt, shutdown.answerBy());
      Object.assign(request, { response, deadlineAt: bounded });
      if (!shutdown.mayAccept(deadlineAt, isProvenCall(request))) {
        checkRefusal(request);
        respond(request, response, 'not run');
        return;
      }
      accept(request, response, deadlineAt);
      readBody(request, response, () => shutdown.phase() !== 'closed');
    },
    peer: (request) => (response, readAt) => {
      const deadlineAt = Math.min(readAt + request.work.timeoutMs, shutdown.answerBy());
      Object.assign(request, { response, deadlineAt });
      if (!isAccepting()) {
        respond(request, response, 'not run');
        return;
      }
      accept(request, response, deadlineAt);
      readBody(request, response, isAccepting);
    },
  };

  const mayEndAfter: Readonly<Record<ServingName, () => boolean>> = {
    caller: () => shutdown.phase() !== 'running',
    peer: () => !isAccepting(),
  };

  const findConnection = (to: ServingName, kept: number | undefined) => {
    const readable = connections[to].filter(({ isReadable }) => isReadable());
    const known = kept === undefined ? undefined : pick(readable, kept);
    if (known !== undefined) return known;
    const connection = listeners[to].connect();
    if (connection === undefined) return undefined;
    options.onConnect(to);
    connections[to].push(connection);
    return connection;
  };

  const send = (
    to: ServingName,
    kept: number | undefined,
    work: ModelWork,
    parent?: ModelRequest,
    isKnownCall = false,
  ) => {
    const connection = findConnection(to, kept);
    if (connection === undefined) return;
    const request: ModelRequest = {
      id: requests.length,
      work,
      connection,
      listener: to,
      parent,
      isKnownCall,
      isAccepted: false,
      isRun: false,
      isLost: false,
      isComplete: false,
      deadlineAt: Infinity,
      bodyEndsAt: clock.now() + work.bodyMs,
    };
    requests.push(request);
    connection.read({
      handle: handlers[to](request),
      isLast: work.isLast,
      bodyMs: work.bodyMs,
      mayEndAfter: mayEndAfter[to],
    });
  };

  const findRunning = (index: number) => pick(requests.filter((request) => (
    request.isRun && request.result === undefined && request.response?.isClosed() === false
  )), index);

  const lose = (connection: ModelConnection) => {
    for (const request of requests) {
      if (request.connection === connection && !request.isComplete) request.isLost = true;
    }
  };

  const findAny = (index: number) => (
    pick([...connections.peer, ...connections.caller].filter(({ isOpen }) => isOpen()), index)
  );

  return {
    send,
    callNested: (index, kept, work, isKnown) => {
      const parent = findRunning(index);
      if (parent === undefined) return;
      const timeoutMs = parent.deadlineAt - clock.now();
      send('caller', kept, { ...work, timeoutMs }, parent, isKnown);
    },
    sendControl: (kept, { workMs, flushMs, isLast }) => {
      findConnection('peer', kept)?.read({
        handle: (response) => {
          clock.schedule(workMs, () => response.end(flushMs, () => undefined));
        },
        isLast,
        bodyMs: 0,
        mayEndAfter: () => false,
      });
    },
    leave: (index) => {
      const connection = findAny(index);
      if (connection === undefined) return;
      lose(connection);
      connection.leave();
    },
    readPartOfHead: (index) => findAny(index)?.readPartOfHead(),
    cut: (index) => {
      const request = findRunning(index);
      if (request === undefined) return;
      lose(request.connection);
      request.response?.cut();
    },
    checkExit: () => {
      const answerBy = shutdown.answerBy();
      for (const request of requests) {
        const { isAccepted, isComplete, isLost } = request;
        if (!isAccepted || isComplete || isLost) continue;
        if (Math.min(request.deadlineAt, answerBy) > clock.now()) {
          report(`the process exits with ${nameOf(request)} open before its deadline`);
        } else if (request.deadlineAt <= answerBy) {
          report(`the process exits without a response to ${nameOf(request)}`);
        }
      }
    },
  };
};
