import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createSystemClock } from '../clock/mod.ts';
import type { PublishedRoute, RouteKind } from '../contract/mod.ts';
import { createEgressLink } from '../http/mod.ts';
import { type LogFields, type Logger, noopLogger } from '../telemetry/mod.ts';
import { type CallOptions, sendAsCaller } from './_test_caller.ts';
import type { RequestSummary } from './caller_listener_options.ts';
import {
  type BodyBudget, createCallerListener, createDemandMeter, createDispatchQueue,
  createInstanceClient, createLocalForwarder, createPeerClient, createPeerListener,
  createRequestSender, createResponseSilence, createRouteTable, createServiceRetryBudget,
  createShutdownTracker, createSlotQueue, MAX_BUFFERED_BYTES, type PeerClientOptions,
  type ShutdownTracker,
} from './mod.ts';

const clock = createSystemClock();

export const ROUTE_TIMEOUT_MS = 400;

const HEADERS = {
  requestId: 'request-id',
  remainingMs: 'deadline-ms',
  callerService: 'caller-service',
  key: 'shard-key',
  signature: 'response-seal',
  expectedInstance: 'expect-instance',
  notRun: 'not-executed',
};

/** An instance whose answers are raw bytes. */
export interface RawInstance {
  readonly address: string;
  readonly counts: { connections: number; requests: number };
  /** Returns the number of open connections that carried a request. */
  readonly usedConnections: () => number;
  /** Returns all that was received, one text for each connection. */
  readonly received: () => readonly string[];
  readonly close: () => void;
}

/** Answers a request; `headOf` starts a sound answer to it. */
export type Respond = (
  socket: Socket,
  headOf: (status?: number) => string,
  requestCount: number,
) => void;

/** Writes a chunk again and again until the other end closes the connection. */
export const writeEndlessly = (socket: Socket, chunk: string) => {
  const bytes = Buffer.from(chunk.repeat(Math.max(1, Math.ceil(65_536 / chunk.length))), 'latin1');
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', write);
  write();
};

export const answerSoundly: Respond = (socket, headOf) => {
  socket.write(`${headOf()}content-length: 5\r\n\r\nsound`);
};

const startRawInstance = async (
  respond: Respond,
  onConnection: (socket: Socket) => void = () => undefined,
): Promise<RawInstance> => {
  const sockets = new Set<Socket>();
  const usedSockets = new Set<Socket>();
  const received: Buffer[][] = [];
  const counts = { connections: 0, requests: 0 };
  const server = await new Promise<Server>((resolve) => {
    const started = createServer((socket) => {
      counts.connections += 1;
      onConnection(socket);
      sockets.add(socket);
      const chunks: Buffer[] = [];
      received.push(chunks);
      socket.on('error', () => undefined).once('close', () => sockets.delete(socket));
      socket.on('data', (data: Buffer) => {
        chunks.push(data);
        const id = /request-id: (\S+)/iu.exec(data.toString())?.[1];
        if (id === undefined) return;
        counts.requests += 1;
        usedSockets.add(socket);
        const headOf = (status = 200) => (
          `HTTP/1.1 ${status} Text\r\n${HEADERS.requestId}: ${id}\r\n${HEADERS.signature}: s\r\n`
        );
        respond(socket, headOf, counts.requests);
      });
    });
    started.listen(0, '127.0.0.1', () => resolve(started));
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    counts,
    usedConnections: () => [...usedSockets].filter((socket) => sockets.has(socket)).length,
    received: () => received.map((chunks) => Buffer.concat(chunks).toString('latin1')),
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
};

const routeOf = (kind: RouteKind, timeoutMs: number): PublishedRoute => ({
  name: kind,
  host: 'shop.example',
  prefix: `/${kind}/`,
  kind,
  timeoutMs,
  targetLatencyMs: 300,
  priority: 1,
  maxAttempts: 2,
  targets: [{ service: 'ledger', weight: 1 }],
});

const createRoutes = (timeoutMs: number) => createRouteTable({
  revision: 1,
  routes: (['safe', 'unsafe', 'download'] as const).map((kind) => routeOf(kind, timeoutMs)),
  services: new Map(),
});

const createLogger = (onInfo: (fields: LogFields) => void): Logger => ({
  ...noopLogger,
  info: (fields) => onInfo(fields),
  forComponent: () => createLogger(onInfo),
});

const createLink = (megabitsPerSecond = 1000) => createEgressLink({
  clock, megabitsPerSecond, maxBufferedBytes: MAX_BUFFERED_BYTES,
});

/** Options of a path. */
export interface PathOptions {
  /** Whether the first instance is on the caller's host. */
  readonly hop: 'local' | 'peer';
  /** Timeout of the routes in ms. */
  readonly timeoutMs?: number;
  /** Rate of the link of the caller's host; 1000 by default. */
  readonly megabitsPerSecond?: number;
  /** Slots of each instance. */
  readonly slots?: number;
  readonly onConnectionsLost?: () => void;
  /** Called with each connection to an instance. */
  readonly onInstanceConnection?: (socket: Socket) => void;
  /** Memory for request bodies of the caller listener, and of each peer listener. */
  readonly bodies?: BodyBudget;
  readonly peerBodies?: BodyBudget;
  /** Returns the address through which the peer listener at an address is reached. */
  readonly reachThrough?: (address: string) => Promise<string>;
  readonly peerListeners?: Pick<PeerClientOptions, 'onRoundTrip' | 'onTransfer'>;
  /** Called with the fields of each line of information that the caller listener logs. */
  readonly onCallerLog?: (fields: LogFields) => void;
  /** Trackers of the caller listener and of all peer listeners; by default, no node stops. */
  readonly shutdown?: { readonly caller: ShutdownTracker; readonly peer: ShutdownTracker };
}

/** Starts the destination of one raw instance, with a peer listener in front of it. */
const startDestination = async (name: string, respond: Respond, options: PathOptions) => {
  const instance = await startRawInstance(respond, options.onInstanceConnection);
  const link = createLink();
  const silence = createResponseSilence({ clock, logger: noopLogger });
  const queue = createSlotQueue({
    clock, slots: () => silence.acceptedSlots(options.slots ?? 4), instance: () => name,
  });
  const client = createInstanceClient({
    clock,
    address: instance.address,
    instance: name,
    connections: (options.slots ?? 4) + 2,
    headers: HEADERS,
    silence,
    onConnectionRefused: () => undefined,
    onConnectionsLost: options.onConnectionsLost,
  });
  const forwarder = createLocalForwarder({
    clock,
    instance: () => ({
      instance: name, service: 'ledger', state: 'ready', acceptsUntil: Infinity, client,
    }),
    keys: { mayServe: () => true, retryAfterMs: () => 50, record: () => undefined },
    queue,
    demand: createDemandMeter({ clock }),
    link,
  });
  const listener = createPeerListener({
    clock,
    dispatch: createDispatchQueue({ clock }),
    link,
    address: '127.0.0.1:0',
    requestIdHeader: HEADERS.requestId,
    local: forwarder,
    ...(options.peerBodies === undefined ? {} : { bodies: options.peerBodies }),
    shutdown: options.shutdown?.peer ?? createShutdownTracker(clock),
    logger: noopLogger,
    handleControlMessage: async () => undefined,
  });
  const address = await listener.listen();
  return {
    name,
    instance,
    queue,
    forwarder,
    address,
    close: () => {
      client.close();
      listener.kill();
      instance.close();
    },
  };
};

/**
 * Starts a path from a caller listener to raw instances. The first instance is on the caller's host
 * with the hop `local`; all others are behind peer listeners and get what the first one failed.
 */
export const startPath = async (
  options: PathOptions,
  ...responds: readonly Respond[]
) => {
  const {
    hop, timeoutMs = ROUTE_TIMEOUT_MS, bodies, reachThrough = async (address) => address,
  } = options;
  const table = createRoutes(timeoutMs);
  const destinations = await Promise.all(responds.map((respond, index) => (
    startDestination(`i-${index}`, respond, options)
  )));
  const addresses = await Promise.all(destinations.map(({ address }) => reachThrough(address)));
  const peers = createPeerClient({
    clock, requestIdHeader: 'request-id', ...options.peerListeners,
  });
  const budget = () => createServiceRetryBudget({
    clock, ratio: 1, extraRetries: 1000, windowMs: 10_000, nodeCount: () => 1,
  });
  const sender = createRequestSender({
    clock,
    chooser: {
      choose: (_, excluded) => {
        const index = destinations.findIndex(({ name }) => !excluded.has(name));
        const found = destinations[index];
        if (found === undefined) return { kind: 'none', reason: 'none left', retryAfterMs: 100 };
        return {
          kind: index === 0 ? hop : 'peer',
          node: found.name,
          address: addresses[index]!,
          instance: found.name,
          reason: 'next',
          version: 0,
        };
      },
      report: () => undefined,
    },
    local: destinations[0]!.forwarder,
    peers,
    retryBudget: budget(),
    failoverBudget: budget(),
    logger: noopLogger,
  });
  const outcomes: string[] = [];
  const unknowns: RequestSummary['unknown'][] = [];
  const listener = createCallerListener({
    clock,
    dispatch: createDispatchQueue({ clock }),
    address: '127.0.0.1:0',
    headers: HEADERS,
    callerService: () => 'caller',
    routes: () => table,
    sender,
    link: createLink(options.megabitsPerSecond),
    ...(bodies === undefined ? {} : { bodies }),
    shutdown: options.shutdown?.caller ?? createShutdownTracker(clock),
    logger: options.onCallerLog === undefined ? noopLogger : createLogger(options.onCallerLog),
    random: () => 0,
    onRequestEnd: ({ outcome, unknown }) => {
      outcomes.push(outcome);
      unknowns.push(unknown);
    },
  });
  const address = await listener.listen();
  return {
    instances: destinations.map(({ instance }) => instance),
    /** Outcomes of the requests, as the caller listener reports them. */
    outcomes,
    /** Status and cause of each request that may have run, undefined for the others. */
    unknowns,
    slotsInUse: () => destinations.reduce((sum, { queue }) => sum + queue.load().inFlight, 0),
    callerAddress: address,
    call: (call: CallOptions = {}) => sendAsCaller(address, call),
    stopCallers: listener.stop,
    stop: async () => {
      listener.kill();
      await peers.close();
      for (const destination of destinations) destination.close();
    },
  };
};
