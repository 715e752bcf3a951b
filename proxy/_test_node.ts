import { once } from 'node:events';
import {
  type Agent, createServer, type IncomingMessage, request as httpRequest, type RequestListener,
  type ServerResponse,
} from 'node:http';
import {
  type AddressInfo, connect, type Server, type Socket,
} from 'node:net';
import { createHash } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Admission, PermitOutcome } from '../admission/mod.ts';
import { createSystemClock } from '../clock/mod.ts';
import {
  compileContracts, type Contract, contractSchema, type Route, type ServiceDefinition,
} from '../contract/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';
import {
  createForwarder, createIdempotencyTable, createRequestLedger, createUpstreamClient,
  type ProgressTimeouts,
} from '../forward/mod.ts';
import type { OwnershipRefusal, Ownership } from '../lease/mod.ts';
import type { AttemptReport, Router, RoutingDecision } from '../routing/mod.ts';
import { silentLogger, silentMetrics } from '../telemetry/mod.ts';
import { createCallerListener, createLocalDispatch, createPeerListener } from './mod.ts';

export const TOKEN = 'caller-token';
export const CREDENTIAL = 'fleet-credential';
/** Upper bound in ms for anything a test waits for. */
export const LIMIT_MS = 10_000;

type RouteInput = Partial<Route> & Pick<Route, 'path' | 'class'>;

/** A contract whose routes lead to the service `ledger`. */
export const makeContract = (
  routes: readonly RouteInput[],
  service: Partial<ServiceDefinition> = {},
): Contract => contractSchema.parse({
  customer: 'mesh',
  tokenHashes: [createHash('sha256').update(TOKEN).digest('hex')],
  share: 1,
  limits: { requestsPerSecond: 1000, concurrency: 1000 },
  services: [{
    name: 'ledger', keyed: false, slotCount: 16, ...service,
  }],
  routes: routes.map((route, index) => ({
    name: `r${index}`,
    host: '*',
    methods: ['GET', 'POST', 'PUT', 'HEAD', 'DELETE', 'OPTIONS'],
    service: 'ledger',
    deadlineMs: LIMIT_MS,
    ...route,
  })),
});

export const listen = async (server: Server) => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Resolves when `check` holds, polling in short steps; fails after the limit. */
export const until = async (check: () => boolean) => {
  const endAt = performance.now() + LIMIT_MS;
  while (!check()) {
    if (performance.now() > endAt) throw new Error('the condition did not come true');
    await new Promise((resolve) => {
      setTimeout(resolve, 2);
    });
  }
};

export interface TestNodeOptions {
  readonly contract: Contract;
  readonly progressTimeouts?: ProgressTimeouts;
  readonly connections?: number;
  readonly maxWaiting?: number;
  readonly hedgeDelayMs?: number;
  readonly tls?: TlsMaterial;
}

/** A node with fakes in place of routing, admission, ownership and limits. */
export const startTestNode = async (upstream: string, options: TestNodeOptions) => {
  const clock = createSystemClock();
  const contracts = compileContracts([options.contract]);
  const reports: AttemptReport[] = [];
  const released: PermitOutcome[] = [];
  const state = {
    admit: true,
    budget: 100,
    notOwned: undefined as OwnershipRefusal | undefined,
    token: 7,
    inheritedAt: undefined as number | undefined,
    lapse: new AbortController(),
    refusal: undefined as RefusalError | undefined,
    tickets: 0,
    permits: 0,
    decide: (() => ({ kind: 'none', reason: 'nobody', version: 0 })) as Router['decide'],
    onChange: async () => false,
  };
  const ownership: Ownership = {
    acquire: (service) => {
      if (state.notOwned !== undefined) return err(state.notOwned);
      state.tickets += 1;
      return ok({
        service,
        slot: 1,
        token: state.token,
        version: 1,
        transferredAtMs: state.inheritedAt,
        signal: state.lapse.signal,
        release: () => {
          state.tickets -= 1;
        },
      });
    },
  };
  const admission: Admission = {
    load: () => ({
      inFlight: state.permits, queued: 0, limit: 6, serviceRate: 50,
    }),
    acquire: async () => {
      if (state.refusal !== undefined) return err(state.refusal);
      state.permits += 1;
      return ok({
        queuedMs: 0,
        release: (outcome) => {
          state.permits -= 1;
          released.push(outcome);
        },
      });
    },
  };
  const client = createUpstreamClient(upstream, {
    clock, connections: options.connections ?? 6,
  });
  const findUpstream = (instance: string) => (
    instance.startsWith('i') ? { client, admission } : undefined
  );
  const { progressTimeouts, tls } = options;
  const ledger = createRequestLedger({ clock });
  const dispatch = createLocalDispatch({
    clock,
    ownership,
    contracts: () => contracts,
    findUpstream,
    idempotency: createIdempotencyTable({ clock }),
  });
  const peer = createPeerListener({
    clock,
    address: '127.0.0.1:0',
    credential: CREDENTIAL,
    ledger,
    dispatch,
    findUpstream,
    logger: silentLogger,
    progressTimeouts,
    idleGraceMs: 200,
    tls,
  });
  const forwarder = createForwarder({
    clock, credential: CREDENTIAL, progressTimeouts, tls,
  });
  const caller = createCallerListener({
    clock,
    address: '127.0.0.1:0',
    contracts: () => contracts,
    limits: {
      admit: () => (state.admit
        ? ok({ release: () => undefined })
        : err(new RefusalError('over the limit', {
          step: 'limits', status: 429, outcome: 'not run', retryAfterSeconds: 2,
        }))),
      stop: () => undefined,
    },
    router: {
      decide: (request) => state.decide(request),
      waitForChange: () => state.onChange(),
      report: (report) => {
        reports.push(report);
      },
      hedgeDelayMs: () => options.hedgeDelayMs,
    },
    forwarder,
    dispatch,
    retryBudget: {
      deposit: () => undefined,
      withdraw: () => {
        state.budget -= 1;
        return state.budget >= 0;
      },
    },
    logger: silentLogger,
    metrics: silentMetrics,
    maxWaiting: options.maxWaiting,
    idleGraceMs: 200,
  });
  const peerAddress = await peer.listen();
  const callerAddress = await caller.listen();
  const stop = async () => {
    await Promise.all([caller.stop(), peer.stop()]);
    await Promise.all([client.stop(), forwarder.stop()]);
  };
  return {
    state, reports, released, caller, peer, forwarder, ledger, peerAddress, callerAddress, stop,
  };
};

export type TestNode = Awaited<ReturnType<typeof startTestNode>>;

export const localTarget = (instance = 'i1'): RoutingDecision => ({
  kind: 'local', instance, node: 'n1', peerAddress: '', reason: 'test', version: 1,
});

export const peerTarget = (peerAddress: string, instance = 'i1'): RoutingDecision => ({
  kind: 'peer', instance, node: 'n2', peerAddress, reason: 'test', version: 1,
});

/** An upstream, and a node before it that reaches it over its own peer listener. */
export const startPath = async (listener: RequestListener, options: TestNodeOptions) => {
  const upstream = createServer(listener);
  const upstreamAddress = await listen(upstream);
  const node = await startTestNode(upstreamAddress, options);
  node.state.decide = () => peerTarget(node.peerAddress);
  const stop = async () => {
    upstream.closeAllConnections();
    upstream.close();
    await node.stop();
  };
  return {
    ...node, upstream, upstreamAddress, stop,
  };
};

/** Records the requests that reach the upstream and leaves their answers to the test. */
export const createHeldUpstream = () => {
  const held: { request: IncomingMessage; response: ServerResponse }[] = [];
  const listener: RequestListener = (request, response) => {
    held.push({ request, response });
  };
  return { held, listener };
};

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Keeps connections open between calls; by default each call has its own. */
  readonly agent?: Agent;
}

/** Starts a request of a caller and resolves when the head of its answer has arrived. */
export const open = async (address: string, path: string, options: CallOptions = {}) => {
  const request = httpRequest(`http://${address}${path}`, {
    method: options.method ?? 'GET',
    headers: { authorization: `Bearer ${TOKEN}`, ...options.headers },
    agent: options.agent ?? false,
  });
  request.on('error', () => undefined);
  request.end(options.body);
  const [response] = await once(request, 'response') as [IncomingMessage];
  return { request, response };
};

/** Sends a request of a caller and reads its whole answer. */
export const call = async (address: string, path: string, options: CallOptions = {}) => {
  const { response } = await open(address, path, options);
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  const isProblem = response.headers['content-type'] === 'application/problem+json';
  const problem = (isProblem ? JSON.parse(text) : {}) as Readonly<Record<string, string>>;
  return {
    status: response.statusCode ?? 0, headers: response.headers, text, problem,
  };
};

/** Sends raw bytes and reads until the connection closes. */
export const sendRaw = async (address: string, text: string): Promise<string> => {
  const port = Number(address.split(':')[1]);
  const socket: Socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(text);
  let answer = '';
  socket.on('data', (chunk) => {
    answer += chunk.toString();
  });
  await once(socket, 'close');
  return answer;
};
